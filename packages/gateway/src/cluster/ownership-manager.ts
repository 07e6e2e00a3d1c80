/**
 * Sees to it that each key of one sharded service has an owner that holds it,
 * and never two. Runs on the leader only.
 *
 * A range changes hands in this order: the store has the record of the new
 * owner; the former owner released the range, or its last grant has surely
 * lapsed, or its process is known to have ended; the new owner is granted the
 * range under the offset of the record.
 */
import {
	ErrorKind, planKeyMoves, type FormerOwner, type LeaseTiming, type RangeOwnership, type OwnershipMap, type KeyRange, type KeyRates, type EligibleOwner, type Clock,
} from '@bluebellyard/core';
import {
	GrantReply, StaleAppendError, type TargetControl, type TargetRef,
} from '../ports/index.js';
import type {Telemetry} from '../telemetry/index.js';
import type {OwnedRange} from '../view/index.js';
import {Revocations} from './revocations.js';
import {
	grantKey, newGrantState, pendingSince, type GrantState,
} from './grant.js';

/** Part of the hold after which a grant is renewed: three more tries, and a change of the leader, fit before it lapses. */
const renewShare = 1 / 2;

/** Time until a grant that failed is sent again, in milliseconds. */
const retryMs = 250;

/** Time between two plans for balance, in milliseconds: load is measured over seconds. */
const balanceEveryMs = 500;

/** Time that a confirmed change of formers may wait for another write, in milliseconds. */
const tidyAfterMs = 400;

/** Time without a new target after which keys are first given out, in milliseconds, so that all targets of a start take part. */
const settleMs = 900;

/** Longest time from the first target until keys are first given out, in milliseconds. */
const maxSettleMs = 4000;

/** Part of the ranges that must be left when adjoining ranges of one owner are joined: all owners get new tokens for it. */
const joinedShare = 0.7;

/** Settings of a keeper. */
export type OwnershipManagerOptions = {
	readonly service: string;
	readonly control: TargetControl;
	readonly clock: Clock;
	readonly timing: LeaseTiming;
	readonly telemetry: Telemetry;
	/** Writes a new map; resolves to it once the store has it. */
	readonly write: (change: (fence: number) => OwnershipMap) => Promise<OwnershipMap>;
	/** Called when routes of requests may have changed. */
	readonly onChange: () => void;
	/** Called after a write whose outcome is not known, or that was out of date. */
	readonly onUncertainWrite: () => void;
	/** Where a target is or was. */
	readonly findTarget: (owner: string) => TargetRef | undefined;
	/** Whether the process is known to have ended. */
	readonly hasEnded: (owner: string) => boolean;
	/** Time at which the grants of former leaders have surely lapsed. */
	readonly inheritedLeaseEnd: () => number;
};

/** What a keeper may do and knows at a tick. */
export type TickInput = {
	readonly owners: readonly EligibleOwner[];
	/** Load by key; asked for only when a plan is due. */
	readonly rates: () => KeyRates;
	/** Whether keys may change hands; not while the store is away. */
	readonly mayMove: boolean;
};

/** Owner of the keys of one service on behalf of all instances. */
export class OwnershipManager {
	private grants = new Map<string, GrantState>();
	private readonly departures: Revocations;
	private readonly handovers = new Map<string, string>();
	private isWriting = false;
	private changes = 1;
	/** Whether owners would still take grants of a former leader. */
	private mustRefence = false;
	private tidySince: number | undefined;
	private balancedAt = Number.NEGATIVE_INFINITY;
	private ownersSince: number | undefined;
	private ownerCount = 0;
	private ownersChangedAt = Number.NEGATIVE_INFINITY;
	/** Since when an owner answers no grant. */
	private readonly silence = new Map<string, number>();

	constructor(private readonly options: OwnershipManagerOptions, private map: OwnershipMap, isTakenOver: boolean) {
		this.departures = new Revocations(options);
		for (const holding of map.ranges) {
			if (holding.owner !== '') {
				this.grants.set(grantKey(holding), newGrantState(isTakenOver));
			}
		}
	}

	/** Grows with each change of `ranges`. */
	get revision(): number {
		return this.changes;
	}

	/** Owners as callers' requests are to be routed. */
	ranges(): Map<string, OwnedRange> {
		const {service} = this.options;
		const rows = new Map<string, OwnedRange>();
		for (const holding of this.map.ranges) {
			const isOpen = holding.formers.length === 0 && (this.grants.get(grantKey(holding))?.isOpen ?? false);
			rows.set(`keys/${service}/${holding.from}`, {to: holding.to, owner: holding.owner, isOpen});
		}

		return rows;
	}

	/**
	 * Gives all ranges a new fencing token, so that owners refuse what a former
	 * leader may still send.
	 */
	refenceAll(): void {
		this.mustRefence = true;
		this.write(fence => this.map.renewFences(fence));
	}

	/** Replaces the map by what the store has, after a write in doubt. */
	reload(map: OwnershipMap): void {
		this.isWriting = false;
		this.adopt(map);
		if (this.mustRefence) {
			this.refenceAll();
		}
	}

	/** Takes note that an owner said it does not hold a key that it was granted. */
	handleNotOwner(owner: string, key: number): void {
		const holding = this.map.findByKey(key);
		const grant = this.grants.get(grantKey(holding));
		if (holding.owner === owner && grant !== undefined) {
			grant.nextAt = Math.min(grant.nextAt, this.options.clock.now());
		}
	}

	/** How long an owner has answered no grant, in milliseconds. */
	silentMs(owner: string): number {
		return this.options.clock.now() - (this.silence.get(owner) ?? Number.POSITIVE_INFINITY);
	}

	/** Does what is due. */
	tick(input: TickInput): void {
		if (this.mustRefence) {
			return;
		}

		const now = this.options.clock.now();
		if (input.mayMove && !this.isWriting) {
			this.plan(input, now);
		}

		for (const holding of this.map.ranges) {
			if (holding.owner === '') {
				continue;
			}

			if (this.clearFormers(holding, now)) {
				this.renew(holding, now);
			}
		}
	}

	private plan({owners, rates}: TickInput, now: number): void {
		if (owners.length === 0) {
			return;
		}

		this.ownersSince ??= now;
		if (owners.length !== this.ownerCount) {
			this.ownerCount = owners.length;
			this.ownersChangedAt = now;
		}

		const usable = new Set(owners.map(owner => owner.id));
		const isHomeless = this.map.ranges.some(holding => !usable.has(holding.owner));
		const isFirst = this.map.ranges.every(holding => holding.owner === '');
		const isSettling = isFirst && now - this.ownersChangedAt < settleMs && now - this.ownersSince < maxSettleMs;
		const isBalanceDue = now - this.balancedAt >= balanceEveryMs;
		if (isSettling || !(isHomeless || isBalanceDue)) {
			this.tidy(now);
			return;
		}

		this.balancedAt = now;
		const moves = planKeyMoves(this.map, owners, rates());
		if (moves.length === 0) {
			this.tidy(now);
			return;
		}

		this.options.telemetry.info('keeper', 'Keys change hands.', {
			service: this.options.service, moves: moves.map(({from, to, owner}) => `${from}-${to}>${owner}`).slice(0, 8), count: moves.length, isHomeless,
		});
		this.options.telemetry.recordMoves(moves.length);
		this.write(fence => this.map.assign(moves, fence));
	}

	/** Writes cleared formers, and joins adjoining ranges of one owner when there are many. */
	private tidy(now: number): void {
		if (this.tidySince === undefined || now - this.tidySince < tidyAfterMs) {
			return;
		}

		this.tidySince = undefined;
		const {ranges: holdings} = this.map;
		const joined = this.map.renewFences(0).ranges.length;
		this.write(fence => joined < holdings.length * joinedShare ? this.map.renewFences(fence) : this.map);
	}

	private write(change: (fence: number) => OwnershipMap): void {
		this.isWriting = true;
		this.options.write(change).then(map => {
			this.isWriting = false;
			this.mustRefence = false;
			this.adopt(map);
			this.options.onChange();
		}, (err: unknown) => {
			const isStale = err instanceof StaleAppendError;
			this.options.telemetry.warn('keeper', 'The owners could not be written; reading them again.', {
				service: this.options.service, isStale, err,
			});
			this.options.onUncertainWrite();
		});
	}

	/** Takes a new map; ranges that stay with their owner stay granted. */
	private adopt(map: OwnershipMap): void {
		const former = this.map;
		const before = this.grants;
		const now = this.options.clock.now();
		this.map = map;
		this.changes += 1;
		this.grants = new Map();
		for (const holding of map.ranges) {
			if (holding.owner === '') {
				continue;
			}

			const same = before.get(grantKey(holding));
			if (same !== undefined) {
				// A grant that is under way ends in this very object.
				this.grants.set(grantKey(holding), same);
				continue;
			}

			const known = covering(former, holding).map(old => before.get(grantKey(old)));
			const [first] = known;
			const isSame = covering(former, holding).every(old => old.owner === holding.owner);
			const grant = newGrantState(isSame && known.every(old => old?.isOpen === true));
			if (isSame && first !== undefined) {
				const hasSameFence = covering(former, holding).every(old => old.fence === holding.fence);
				grant.acceptedSentAt = hasSameFence ? Math.min(...known.map(old => old?.acceptedSentAt ?? Number.NEGATIVE_INFINITY)) : Number.NEGATIVE_INFINITY;
				grant.unansweredSentAt = Math.max(...known.map(old => pendingSince(old, now)));
				grant.isFenced = known.every(old => old?.isFenced === true);
				grant.nextAt = hasSameFence ? Math.min(...known.map(old => old?.nextAt ?? now)) : now;
			}

			this.grants.set(grantKey(holding), grant);
			for (const old of holding.formers) {
				this.depart(holding, old, {former, before, now});
			}
		}

		this.departures.keepOnly(map.ranges);
		this.tidySince ??= map.ranges.some(holding => holding.formers.length > 0) ? now : undefined;
	}

	/** Works on the former owners of a range; true when none is left. */
	private clearFormers(holding: RangeOwnership, now: number): boolean {
		let isClear = true;
		for (const former of holding.formers) {
			if (!this.departures.tryComplete(holding, former, now)) {
				isClear = false;
				continue;
			}

			const handover = this.departures.remove(holding, former);
			if (handover !== undefined) {
				this.handovers.set(grantKey(holding), handover);
			}

			this.map = this.map.clearFormer(holding, former.owner);
			this.changes += 1;
			this.tidySince ??= now;
		}

		return isClear;
	}

	/** Begins to take a range from a former owner, by what is known of its last grants. */
	private depart(holding: RangeOwnership, old: FormerOwner, {former, before, now}: {former: OwnershipMap; before: ReadonlyMap<string, GrantState>; now: number}): void {
		const held = covering(former, holding).filter(part => part.owner === old.owner).map(part => before.get(grantKey(part)));
		this.departures.begin(holding, old, {
			now,
			isFenced: held.length > 0 && held.every(grant => grant?.isFenced === true),
			pendingSince: Math.max(Number.NEGATIVE_INFINITY, ...held.map(grant => pendingSince(grant, now))),
		});
	}

	private renew(holding: RangeOwnership, now: number): void {
		const grant = this.grants.get(grantKey(holding));
		if (grant === undefined || grant.isInFlight || now < grant.nextAt) {
			return;
		}

		void this.grant(holding, grant);
	}

	private async grant(holding: RangeOwnership, grant: GrantState): Promise<void> {
		const {
			control, findTarget: targetOf, clock, timing, telemetry, service, onChange,
		} = this.options;
		const target = targetOf(holding.owner);
		const sentAt = clock.now();
		grant.nextAt = sentAt + retryMs;
		if (target === undefined) {
			return;
		}

		grant.isInFlight = true;
		const handover = this.handovers.get(grantKey(holding));
		const wasOpen = grant.isOpen;
		try {
			const reply = await control.grant(target, {
				from: holding.from, to: holding.to, fence: holding.fence, leaseMs: timing.leaseMs, handover,
			}, timing.transitMs);
			this.silence.delete(holding.owner);
			if (reply === GrantReply.Accepted) {
				grant.acceptedSentAt = sentAt;
				grant.isOpen = true;
				grant.isFenced = true;
				grant.nextAt = sentAt + (timing.leaseMs * renewShare);
			} else {
				this.refused(holding, reply);
			}
		} catch (err) {
			grant.unansweredSentAt = sentAt;
			this.silence.set(holding.owner, this.silence.get(holding.owner) ?? sentAt);
			telemetry.warn('keeper', 'A grant was not answered.', {
				service, owner: holding.owner, from: holding.from, to: holding.to, fence: holding.fence, err,
			});
		} finally {
			grant.isInFlight = false;
		}

		if (grant.isOpen !== wasOpen) {
			this.changes += 1;
			onChange();
		}
	}

	/** A refused grant needs a higher fencing token. */
	private refused(holding: RangeOwnership, reply: GrantReply): void {
		this.options.telemetry.warn('keeper', 'A grant was refused.', {
			service: this.options.service, owner: holding.owner, from: holding.from, to: holding.to, fence: holding.fence, reply, error: ErrorKind.TargetFenced,
		});
		if (reply === GrantReply.Fenced && !this.isWriting && this.map.findByKey(holding.from).fence === holding.fence) {
			const move = {from: holding.from, to: holding.to, owner: holding.owner};
			this.write(fence => this.map.assign([move], fence));
		}
	}
}

function covering(map: OwnershipMap, range: KeyRange): RangeOwnership[] {
	return map.ranges.filter(holding => holding.from <= range.to && range.from <= holding.to);
}
