/**
 * Revokes ranges from their former owners: sends releases, and determines when
 * a former owner certainly holds nothing any more.
 */
import {
	intersection, leaseExpiry, overlaps, rangeSize, type Clock, type FormerOwner, type LeaseTiming, type RangeOwnership, type KeyRange,
} from '@bluebellyard/core';
import type {TargetControl, TargetRef} from '../ports/index.js';
import type {Telemetry} from '../telemetry/index.js';
import {OwnerProcess} from './owner-process.js';
import type {SilentOwners} from './silent-owners.js';

/** Timeout of a release, in milliseconds; the target answers once its running requests have ended. */
const releaseTimeoutMs = 2500;

/** Delay before a failed release is sent again, in milliseconds. */
const retryDelayMs = 250;

/** Options of `Revocations`. */
export type RevocationsOptions = {
	readonly service: string;
	readonly control: TargetControl;
	readonly clock: Clock;
	readonly timing: LeaseTiming;
	readonly telemetry: Telemetry;
	/** Called after a release was answered or failed. */
	readonly onChange: () => void;
	/** Told when a former owner has answered a release. */
	readonly silentOwners: Pick<SilentOwners, 'recordAnswer'>;
	/** Returns the present or last known address of a target. */
	readonly findTarget: (owner: string) => TargetRef | undefined;
	/** Returns what is known of the process of an owner. */
	readonly findProcess: (owner: string) => OwnerProcess;
	/** Returns the monotonic time at which all grants of former leaders have certainly expired. */
	readonly inheritedLeaseEnd: () => number;
	/** Returns the monotonic time from which no grant of a former leader arrives at a target. */
	readonly inheritedArrivalEnd: () => number;
};

/** What the leader knows of the last grants to a former owner. */
export type LastGrants = {
	readonly now: number;
	/** Whether its process accepted a grant of this leader, so that it rejects those of former leaders. */
	readonly isFenced: boolean;
	/** Latest time at which a still unanswered grant may have been sent; negative infinity if there is none. */
	readonly pendingSince: number;
	/** Latest time at which this leader sent any grant that may have reached it; negative infinity if it sent none. */
	readonly lastSentAt: number;
	/** Whether the record of the former leader states that all its grants were answered. */
	readonly isSettled?: boolean;
};

/** Why a former owner certainly holds a range no longer. */
type RevocationReason = 'released' | 'lease-expired' | 'process-ended';

type Revocation = {
	readonly range: KeyRange;
	readonly former: string;
	/** Whether its process accepted a grant of this leader, so that it rejects those of former leaders. */
	readonly isFenced: boolean;
	/** From this time the former owner holds nothing by a grant of this leader, even without a release. */
	readonly expiresAt: number;
	/** Latest time at which a still unanswered grant of this leader may have been sent; it may arrive after the release. */
	readonly pendingSince: number;
	/** Whether all grants of former leaders were answered, so that a release is final. */
	readonly isSettled: boolean;
	isInFlight: boolean;
	isReleased: boolean;
	/** Time from which the next release may be sent. */
	nextAt: number;
	/** State that the former owner handed over with the release. */
	handover: string | undefined;
};

/** Pending revocations of the ranges of one service. */
export class Revocations {
	private readonly options: RevocationsOptions;
	private readonly revocations = new Map<string, Revocation>();

	constructor(options: RevocationsOptions) {
		this.options = options;
	}

	/** Starts to revoke a range from a former owner, unless the revocation has started before. */
	begin(range: RangeOwnership, former: FormerOwner, {now, isFenced, pendingSince, lastSentAt, isSettled = false}: LastGrants): void {
		const key = revocationKey(range, former);
		if (this.revocations.has(key)) {
			return;
		}

		const {timing} = this.options;
		this.revocations.set(key, this.combineExisting(range, former.owner) ?? {
			range,
			former: former.owner,
			isFenced,
			expiresAt: leaseExpiry(lastSentAt, timing),
			pendingSince,
			isSettled,
			isInFlight: false,
			isReleased: false,
			nextAt: now,
			handover: undefined,
		});
	}

	/** Returns the latest time at which a still unanswered grant of a range to a former owner may have been sent. */
	pendingSince(range: KeyRange, former: string): number {
		const rows = [...this.revocations.values()].filter(row => row.former === former && overlaps(row.range, range));
		return Math.max(Number.NEGATIVE_INFINITY, ...rows.map(row => row.pendingSince));
	}

	/** Returns the state that a former owner handed over for exactly this range, if any. */
	findHandover({from, to}: KeyRange, former: string): string | undefined {
		return [...this.revocations.values()].find(row => row.former === former && row.range.from === from && row.range.to === to)?.handover;
	}

	/** Removes revocations that are not needed for any of the given ranges. */
	keepOnly(ranges: readonly RangeOwnership[]): void {
		const keys = new Set(ranges.flatMap(range => range.formers.map(former => revocationKey(range, former))));
		for (const key of this.revocations.keys()) {
			if (!keys.has(key)) {
				this.revocations.delete(key);
			}
		}
	}

	/** Returns whether a former owner certainly holds nothing of a range any more; otherwise sends a release if one is due. */
	tryComplete(range: RangeOwnership, former: FormerOwner, now: number): boolean {
		const process = this.options.findProcess(former.owner);
		if (process === OwnerProcess.Ended) {
			this.recordCompletion(range, former, 'process-ended');
			return true;
		}

		// A former leader may have started the revocation; its grants are valid until they have certainly expired.
		this.begin(range, former, {
			now, isFenced: false, pendingSince: Number.NEGATIVE_INFINITY, lastSentAt: now, isSettled: former.isSettled,
		});
		const revocation = this.revocations.get(revocationKey(range, former))!;
		if (revocation.isSettled && revocation.isReleased && process === OwnerProcess.Running) {
			this.recordCompletion(range, former, 'released');
			return true;
		}

		// The former leaders may turn out to have ended earlier than was known when the revocation started.
		const isFenced = revocation.isFenced && process !== OwnerProcess.Restarted;
		const formerLeadersEnd = isFenced ? this.options.inheritedArrivalEnd() : this.options.inheritedLeaseEnd();
		if (now >= formerLeadersEnd && (now >= revocation.expiresAt || (revocation.isReleased && now >= leaseExpiry(revocation.pendingSince, this.options.timing)))) {
			this.recordCompletion(range, former, revocation.isReleased ? 'released' : 'lease-expired');
			return true;
		}

		// An owner may restart after its release and has then forgotten that it rejects the grants of former leaders.
		const mayRelease = !isFenced || now >= formerLeadersEnd;
		if (mayRelease && !revocation.isReleased && !revocation.isInFlight && now >= revocation.nextAt) {
			void this.sendRelease(range, former, revocation);
		}

		return false;
	}

	/** Removes a completed revocation and returns the state that the former owner handed over, if any. */
	remove(range: RangeOwnership, former: FormerOwner): string | undefined {
		const key = revocationKey(range, former);
		const handover = this.revocations.get(key)?.handover;
		this.revocations.delete(key);
		return handover;
	}

	/**
	 * Returns a revocation that combines those that started while the range had other bounds or another fencing
	 * token, as their state remains valid; undefined if they do not cover the range.
	 */
	private combineExisting({from, to}: KeyRange, former: string): Revocation | undefined {
		const range = {from, to};
		const parts = [...this.revocations.values()].filter(row => row.former === former && overlaps(row.range, range));
		const covered = parts.reduce((sum, row) => sum + rangeSize(intersection(row.range, range)!), 0);
		if (covered < rangeSize(range)) {
			return undefined;
		}

		return {
			range,
			former,
			isFenced: parts.every(row => row.isFenced),
			expiresAt: Math.max(...parts.map(row => row.expiresAt)),
			pendingSince: Math.max(...parts.map(row => row.pendingSince)),
			isSettled: parts.every(row => row.isSettled),
			isInFlight: false,
			isReleased: parts.every(row => row.isReleased),
			nextAt: Math.max(...parts.map(row => row.nextAt)),
			handover: parts.find(row => row.handover !== undefined)?.handover,
		};
	}

	private recordCompletion({from, to, owner, fence}: RangeOwnership, former: FormerOwner, reason: RevocationReason): void {
		const {telemetry, service} = this.options;
		telemetry.metrics.revocations.inc({reason});
		telemetry.trace('keeper', 'A former owner no longer holds a range.', {
			service, from, to, former: former.owner, formerFence: former.fence, owner, fence, reason,
		});
	}

	private async sendRelease(range: KeyRange, former: FormerOwner, revocation: Revocation): Promise<void> {
		const {
			control, findTarget, clock, telemetry, service, onChange, silentOwners,
		} = this.options;
		const target = findTarget(former.owner);
		if (target === undefined) {
			return;
		}

		revocation.isInFlight = true;
		try {
			revocation.handover = await control.release(target, {from: range.from, to: range.to, fence: former.fence}, releaseTimeoutMs);
			revocation.isReleased = true;
			silentOwners.recordAnswer(former.owner);
		} catch (err) {
			telemetry.warn('keeper', 'The target did not answer a release.', {
				service, owner: former.owner, from: range.from, to: range.to, err,
			});
			revocation.nextAt = clock.now() + retryDelayMs;
		} finally {
			revocation.isInFlight = false;
		}

		onChange();
	}
}

function revocationKey({from, to, fence}: RangeOwnership, former: FormerOwner): string {
	return `${from}-${to}/${fence}<${former.owner}/${former.fence}`;
}
