/**
 * Ensures that each key of one sharded service has an owner that holds it, and
 * never two. Runs on the leader only.
 *
 * A range moves in these steps: the record of the new owner is in the store;
 * the former owner released the range, or its last grant has certainly expired,
 * or no process accepts its grants any more; the new owner receives a grant whose
 * fencing token is that of the record.
 */
import {
	ErrorKind, planKeyMoves, type FormerOwner, type KeyRange, type OwnershipMap, type RangeOwnership,
} from '@bluebellyard/core';
import {GrantReply, StaleAppendError, UnknownAppendError} from '../ports/index.js';
import type {OwnedRange} from '../view/index.js';
import {describeMoves} from './describe-moves.js';
import {GrantSender} from './grant-sender.js';
import {HeldRanges} from './held-ranges.js';
import {MoveAdjuster} from './move-adjuster.js';
import {OwnerProcess} from './owner-process.js';
import type {OwnershipManagerOptions, TickInput} from './ownership-manager-options.js';
import {PlanSchedule} from './plan-schedule.js';
import {Revocations} from './revocations.js';
import {SilentOwners} from './silent-owners.js';
import {
	grantKey, createGrantState, inheritGrantState, isOutdated, latestSend, pendingSince, rejectsFormerGrants, type GrantState,
} from './grant.js';

/** Delay before the removal of former owners is written, in milliseconds, so that another write can include it. */
const cleanupDelayMs = 400;

/** Adjoining ranges of one owner are merged only if fewer ranges than this share remain, because a merge gives all owners new fencing tokens. */
const maxMergedShare = 0.7;

/** Assigns the keys of one service to owners and grants them, on behalf of all instances. */
export class OwnershipManager {
	private grants = new Map<string, GrantState>();
	private readonly revocations: Revocations;
	/** State handed over by former owners, by the key of the grant that delivers it. */
	private readonly handovers = new Map<string, string>();
	/** Whether a write is under way, or has failed and `reload` has not followed. */
	private isWriting = false;
	private hasFailedWrite = false;
	/** Whether a write that was not answered may still be carried out. */
	private hasUnknownWrite = false;
	private rangesRevision = 1;
	private mustRenewFences = false;
	private areGrantsSuspended = false;
	private areMovesSuspended = false;
	/** Time from which a removal of former owners waits to be written. */
	private cleanupPendingSince: number | undefined;
	private readonly schedule = new PlanSchedule();
	private readonly adjuster: MoveAdjuster;
	private readonly held: HeldRanges;
	private readonly silentOwners: SilentOwners;
	private readonly sender: GrantSender;

	constructor(private readonly options: OwnershipManagerOptions, private map: OwnershipMap, isInherited: boolean) {
		this.held = new HeldRanges(options.timing);
		this.adjuster = new MoveAdjuster(options.timing);
		this.silentOwners = new SilentOwners(options);
		this.sender = new GrantSender({...options, silentOwners: this.silentOwners});
		this.revocations = new Revocations({...options, silentOwners: this.silentOwners});
		for (const range of map.ranges) {
			if (range.owner !== '') {
				this.grants.set(grantKey(range), createGrantState(isInherited));
			}
		}
	}

	/** Increases with each change of `ranges`. */
	get revision(): number {
		return this.rangesRevision;
	}

	/** Whether at most present grants are renewed, from `suspend` to `resume`. */
	get isSuspended(): boolean {
		return this.areMovesSuspended;
	}

	/** Whether all ranges have fencing tokens of this term and of the store's present era. */
	get hasOwnFences(): boolean {
		return !this.mustRenewFences && !this.areMovesSuspended;
	}

	/** Returns the owners by which requests are routed, as rows of the view. */
	ranges(): Map<string, OwnedRange> {
		const rows = new Map<string, OwnedRange>();
		for (const range of this.map.ranges) {
			const isOpen = range.formers.length === 0 && (this.grants.get(grantKey(range))?.isOpen ?? false);
			rows.set(`keys/${this.options.service}/${range.from}`, {to: range.to, owner: range.owner, isOpen});
		}

		return rows;
	}

	/**
	 * Gives all ranges a new fencing token, so that owners reject grants that a
	 * former leader may still send. Grants nothing before.
	 */
	renewAllFences(): void {
		this.areGrantsSuspended = true;
		this.writeNewFences();
	}

	/** Until `resume`, writes nothing. Renews grants under the present tokens and completes moves that were written, if `mayRenew`. */
	suspend(mayRenew: boolean): void {
		this.areMovesSuspended = true;
		// What a record of an earlier era states of grants does not count.
		this.endHold();
		this.areGrantsSuspended ||= !mayRenew;
	}

	/** Moves keys again once all ranges have a new fencing token. */
	resume(): void {
		this.areMovesSuspended = false;
		this.writeNewFences();
	}

	/**
	 * Ends a write that failed. `map` is the record of this manager in the store; if the store has another one or
	 * none, the present map stays in force and is written again.
	 */
	reload(map: OwnershipMap | undefined): void {
		if (this.hasFailedWrite) {
			this.hasFailedWrite = false;
			this.isWriting = false;
			if (map !== undefined) {
				this.applyMap(map);
			}
		}

		if (this.isWriting || this.areMovesSuspended) {
			return;
		}

		if (this.mustRenewFences || (map === undefined && this.map.hasOwners)) {
			this.writeNewFences();
		} else if (!this.held.isEmpty) {
			// The failed write may still be carried out; it can't be once another one has succeeded.
			this.write(() => this.map);
		}
	}

	/** Renews the grant of a key at once because its owner reported that it does not hold it. */
	handleNotOwner(owner: string, key: number): void {
		const range = this.map.findByKey(key);
		const grant = this.grants.get(grantKey(range));
		if (range.owner === owner && grant !== undefined) {
			grant.nextAt = Math.min(grant.nextAt, this.options.clock.now());
		}
	}

	/** Returns for how long an owner has not answered, in milliseconds; negative infinity if it answers. */
	silentMs(owner: string): number {
		return this.silentOwners.silentMs(owner);
	}

	/** Plans moves, sends grants and sends releases, as far as they are due. */
	tick(input: TickInput): void {
		if (this.areGrantsSuspended) {
			return;
		}

		const now = this.options.clock.now();
		if (input.mayMove && !this.isWriting) {
			this.plan(input, now);
		}

		for (const range of this.map.ranges) {
			if (range.owner === '') {
				continue;
			}

			if (this.revokeFromFormers(range, now)) {
				this.renewIfDue(range, now);
			}
		}

		this.silentOwners.probe(new Set(this.map.ranges.map(range => range.owner)));
	}

	private plan({owners, rates, recentLoad}: TickInput, now: number): void {
		if (owners.length === 0) {
			return;
		}

		const usableIds = new Set(owners.map(owner => owner.id));
		const hasUnusableOwner = this.map.ranges.some(range => !usableIds.has(range.owner));
		const isFirstAssignment = this.map.ranges.every(range => range.owner === '');
		const isDue = this.schedule.tryStart({
			ownerCount: owners.length, isFirstAssignment, hasUnusableOwner, detectsSurges: recentLoad !== undefined,
		}, now);
		if (!isDue) {
			this.writeCleanup(now);
			return;
		}

		const moves = this.adjuster.adjust(planKeyMoves(this.map, owners, rates(), recentLoad?.()), {
			now,
			inheritedLeaseEnd: this.options.inheritedLeaseEnd(),
			inheritedArrivalEnd: this.options.inheritedArrivalEnd(),
			ranges: this.map.ranges,
			usableIds,
			findGrant: range => this.grants.get(grantKey(range)),
			formerPendingSince: (range, former) => this.revocations.pendingSince(range, former.owner),
		});
		if (moves.length === 0) {
			this.writeCleanup(now);
			return;
		}

		this.options.telemetry.info('keeper', 'Moving keys to other owners.', {
			service: this.options.service, ...describeMoves(moves, owners), isHomeless: hasUnusableOwner,
		});
		this.options.telemetry.recordMoves(moves.length);
		this.write(fence => this.map.assign(moves, fence, part => this.holdIfSettled(part)));
	}

	/**
	 * Returns whether no grant of a part that moves can be carried out any more, and holds the part back if so. Grants of
	 * former leaders that arrived in time may be carried out late; an owner that accepted a grant of this one rejects them.
	 */
	private holdIfSettled(part: RangeOwnership): boolean {
		const {clock, inheritedLeaseEnd, inheritedArrivalEnd} = this.options;
		const now = clock.now();
		const grants = this.map.findOverlapping(part).map(range => this.grants.get(grantKey(range)));
		const isFenced = now >= inheritedArrivalEnd() && grants.every(grant => rejectsFormerGrants(grant, inheritedArrivalEnd(), now));
		return (isFenced || now >= inheritedLeaseEnd()) && this.held.tryHold(part, grants, now);
	}

	/** Writes the removal of former owners, and merges adjoining ranges of one owner if that saves enough ranges. */
	private writeCleanup(now: number): void {
		if (this.cleanupPendingSince === undefined || now - this.cleanupPendingSince < cleanupDelayMs) {
			return;
		}

		this.cleanupPendingSince = undefined;
		const mergedCount = this.map.renewFences(0).ranges.length;
		this.write(fence => mergedCount < this.map.ranges.length * maxMergedShare ? this.map.renewFences(fence) : this.map);
	}

	private writeNewFences(): void {
		this.mustRenewFences = true;
		this.write(fence => this.map.renewFences(fence));
	}

	private write(change: (fence: number) => OwnershipMap): void {
		this.isWriting = true;
		this.options.write(change).then(map => {
			this.isWriting = false;
			this.mustRenewFences = false;
			this.areGrantsSuspended = false;
			this.hasUnknownWrite = false;
			this.held.clear();
			this.applyMap(map);
			this.options.onChange();
		}, (err: unknown) => {
			const isStale = err instanceof StaleAppendError;
			this.options.telemetry.warn('keeper', 'The owners could not be written; reading them from the store again.', {
				service: this.options.service, isStale, err,
			});
			this.hasFailedWrite = true;
			this.hasUnknownWrite ||= err instanceof UnknownAppendError;
			if (!this.hasUnknownWrite) {
				this.endHold();
			}

			this.options.onFailedWrite(err);
		});
	}

	/** Ends the hold of ranges whose move is not written, and renews their grants, as some may be due. */
	private endHold(): void {
		const now = this.options.clock.now();
		for (const range of this.map.ranges) {
			const grant = this.grants.get(grantKey(range));
			if (grant !== undefined && this.held.includes(range)) {
				grant.nextAt = Math.min(grant.nextAt, now);
			}
		}

		this.held.clear();
	}

	/** Applies a new map. Ranges that stay with their owner remain granted. */
	private applyMap(map: OwnershipMap): void {
		const formerMap = this.map;
		const formerGrants = this.grants;
		const now = this.options.clock.now();
		this.map = map;
		this.rangesRevision += 1;
		this.grants = new Map();
		for (const range of map.ranges) {
			if (range.owner === '') {
				continue;
			}

			const unchanged = formerGrants.get(grantKey(range));
			if (unchanged !== undefined) {
				// A grant in flight records its outcome in this object.
				this.grants.set(grantKey(range), unchanged);
				continue;
			}

			const grant = inheritGrantState(range, formerMap.findOverlapping(range), formerGrants, now);
			// A former owner that gets the range back may still carry out an earlier grant.
			grant.formerUnansweredSentAt = Math.max(grant.formerUnansweredSentAt, this.revocations.pendingSince(range, range.owner));
			this.keepHandover(range, this.revocations.findHandover(range, range.owner));
			this.grants.set(grantKey(range), grant);
			for (const former of range.formers) {
				this.startRevocation(range, former, {formerMap, formerGrants, now});
			}
		}

		this.revocations.keepOnly(map.ranges);
		this.cleanupPendingSince ??= map.ranges.some(range => range.formers.length > 0) ? now : undefined;
	}

	/** Advances the revocation from the former owners of a range. Returns true if none of them may hold it any more. */
	private revokeFromFormers(range: RangeOwnership, now: number): boolean {
		let isRevoked = true;
		for (const former of range.formers) {
			if (!this.revocations.tryComplete(range, former, now)) {
				isRevoked = false;
				continue;
			}

			this.keepHandover(range, this.revocations.remove(range, former));
			this.map = this.map.clearFormer(range, former.owner);
			this.rangesRevision += 1;
			this.cleanupPendingSince ??= now;
		}

		return isRevoked;
	}

	private keepHandover(range: RangeOwnership, handover: string | undefined): void {
		if (handover !== undefined) {
			this.handovers.set(grantKey(range), handover);
		}
	}

	/** Starts to revoke a range from a former owner, based on its last grants. */
	private startRevocation(range: RangeOwnership, former: FormerOwner, {formerMap, formerGrants, now}: {formerMap: OwnershipMap; formerGrants: ReadonlyMap<string, GrantState>; now: number}): void {
		const lastGrants = formerMap.findOverlapping(range).filter(part => part.owner === former.owner).map(part => formerGrants.get(grantKey(part)));
		this.revocations.begin(range, former, {
			now,
			isFenced: lastGrants.length > 0 && lastGrants.every(grant => rejectsFormerGrants(grant, this.options.inheritedArrivalEnd(), now)),
			pendingSince: Math.max(Number.NEGATIVE_INFINITY, ...lastGrants.map(grant => pendingSince(grant, now))),
			lastSentAt: lastGrants.length === 0 ? now : Math.max(...lastGrants.map(grant => latestSend(grant, now))),
			isSettled: lastGrants.length === 0 && former.isSettled,
		});
	}

	private renewIfDue(range: RangeOwnership, now: number): void {
		const grant = this.grants.get(grantKey(range));
		if (grant === undefined || grant.isInFlight || (now < grant.nextAt && !isOutdated(grant, this.options.inheritedArrivalEnd(), now))) {
			return;
		}

		const isHeld = this.held.includes(range);
		if ((isHeld && !this.hasFailedWrite) || this.options.findProcess(range.owner) !== OwnerProcess.Running) {
			return;
		}

		// While the outcome of a write is unknown, only the keys that it moves get no grant.
		const parts = isHeld ? this.held.withoutHeld(range) : [range];
		if (parts.length > 0) {
			void this.sendGrant(range, grant, parts);
		}
	}

	private async sendGrant(range: RangeOwnership, grant: GrantState, parts: readonly KeyRange[]): Promise<void> {
		const wasOpen = grant.isOpen;
		const reply = await this.sender.send(grant, {range, parts, handover: this.handovers.get(grantKey(range))});
		if (reply !== undefined && reply !== GrantReply.Accepted) {
			this.handleRefusal(range, reply);
		}

		if (grant.isOpen !== wasOpen) {
			this.rangesRevision += 1;
			this.options.onChange();
		}
	}

	/** Assigns the range again under a higher fencing token if the owner has seen a higher one than that of the grant. */
	private handleRefusal(range: RangeOwnership, reply: GrantReply): void {
		this.options.telemetry.metrics.refusedGrants.inc({reply});
		this.options.telemetry.warn('keeper', 'The target refused a grant.', {
			service: this.options.service, owner: range.owner, from: range.from, to: range.to, fence: range.fence, reply, error: ErrorKind.TargetFenced,
		});
		if (reply === GrantReply.Fenced && !this.isWriting && !this.areMovesSuspended && this.map.findByKey(range.from).fence === range.fence) {
			const move = {from: range.from, to: range.to, owner: range.owner};
			this.write(fence => this.map.assign([move], fence));
		}
	}
}
