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
	ErrorKind, type FormerOwner, type KeyRange, type OwnershipMap, type RangeOwnership,
} from '@bluebellyard/core';
import {GrantReply, StaleAppendError, UnsentError} from '../ports/index.js';
import type {OwnedRange} from '../view/index.js';
import {MovePlanner, toLogFields} from './move-planner.js';
import {OwnerProcess} from './owner-process.js';
import type {OwnershipManagerOptions, TickInput} from './ownership-manager-options.js';
import {Revocations} from './revocations.js';
import {SilentOwners} from './silent-owners.js';
import {withdrawMoves} from './withdraw-moves.js';
import {
	grantKey, createGrantState, inheritGrantState, isMovable, latestSend, pendingSince, type GrantState,
} from './grant.js';

/** Share of the lease after which a grant is renewed; leaves time for three more attempts and a change of the leader before it expires. */
const renewalShare = 1 / 2;

/** Delay before a failed grant is sent again, in milliseconds. */
const retryDelayMs = 250;

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
	private rangesRevision = 1;
	private mustRenewFences = false;
	private areGrantsSuspended = false;
	private areMovesSuspended = false;
	/** Whether keys that were moved and not yet granted stay ungranted, since their moves are being withdrawn. */
	private isWithdrawing = false;
	/** Whether former owners were removed since the last write. */
	private hasClearedFormers = false;
	/** Time from which a removal of former owners waits to be written. */
	private cleanupPendingSince: number | undefined;
	private readonly silentOwners: SilentOwners;
	private readonly planner = new MovePlanner();

	constructor(private readonly options: OwnershipManagerOptions, private map: OwnershipMap, isInherited: boolean) {
		this.revocations = new Revocations(options);
		this.silentOwners = new SilentOwners(options);
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
		this.areGrantsSuspended ||= !mayRenew;
	}

	/** Moves keys again once all ranges have a new fencing token. */
	resume(): void {
		this.areMovesSuspended = false;
		this.writeNewFences();
	}

	/**
	 * Writes which moves have ended, and withdraws those whose keys were never granted to the new owner: a successor would
	 * keep the keys closed until the grants of this leader have expired. Returns whether there was nothing to write.
	 * Keys of unfinished moves are not granted from now on until moves are allowed again.
	 */
	settleMoves(): boolean {
		if (this.areMovesSuspended || this.areGrantsSuspended) {
			return true;
		}

		this.isWithdrawing = true;
		if (this.isWriting) {
			return false;
		}

		if (!this.hasClearedFormers && !this.map.ranges.some(range => this.canWithdraw(range))) {
			return true;
		}

		this.write(fence => withdrawMoves(this.map, range => this.canWithdraw(range), fence));
		return false;
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

		if (!this.isWriting && !this.areMovesSuspended && (this.mustRenewFences || (map === undefined && this.map.hasOwners))) {
			this.writeNewFences();
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

	private canWithdraw(range: RangeOwnership): boolean {
		const [former] = range.formers;
		return former !== undefined && this.grants.get(grantKey(range))?.canWithdraw === true && this.options.findProcess(former.owner) === OwnerProcess.Running;
	}

	private plan(input: TickInput, now: number): void {
		this.isWithdrawing = false;
		const plan = this.planner.plan(this.map, input, {now, isMovable: move => this.isMovable(move, now)});
		if (plan.moves.length === 0) {
			this.writeCleanup(now);
			return;
		}

		const {moves} = plan;
		this.options.telemetry.info('keeper', 'Moving keys to other owners.', {service: this.options.service, ...toLogFields(plan, input.owners)});
		this.options.telemetry.recordMoves(moves.length);
		this.write(fence => this.map.assign(moves, fence));
	}

	private isMovable(move: KeyRange, now: number): boolean {
		const {timing, inheritedLeaseEnd} = this.options;
		return this.map.findOverlapping(move).every(range => {
			const grant = this.grants.get(grantKey(range));
			return grant === undefined || isMovable(grant, {now, timing, inheritedLeaseEnd: inheritedLeaseEnd()});
		});
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
			this.applyMap(map);
			this.options.onChange();
		}, (err: unknown) => {
			const isStale = err instanceof StaleAppendError;
			this.options.telemetry.warn('keeper', 'The owners could not be written; reading them from the store again.', {
				service: this.options.service, isStale, err,
			});
			this.hasFailedWrite = true;
			this.options.onFailedWrite(err);
		});
	}

	/** Applies a new map. Ranges that stay with their owner remain granted. */
	private applyMap(map: OwnershipMap): void {
		const formerMap = this.map;
		const formerGrants = this.grants;
		const now = this.options.clock.now();
		this.map = map;
		this.hasClearedFormers = false;
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
			grant.unansweredSentAt = Math.max(grant.unansweredSentAt, this.revocations.pendingSince(range, range.owner));
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

			const handover = this.revocations.remove(range, former);
			if (handover !== undefined) {
				this.handovers.set(grantKey(range), handover);
			}

			this.map = this.map.clearFormer(range, former.owner);
			this.hasClearedFormers = true;
			this.rangesRevision += 1;
			this.cleanupPendingSince ??= now;
		}

		return isRevoked;
	}

	/** Starts to revoke a range from a former owner, based on its last grants. */
	private startRevocation(range: RangeOwnership, former: FormerOwner, {formerMap, formerGrants, now}: {formerMap: OwnershipMap; formerGrants: ReadonlyMap<string, GrantState>; now: number}): void {
		const lastGrants = formerMap.findOverlapping(range).filter(part => part.owner === former.owner).map(part => formerGrants.get(grantKey(part)));
		this.revocations.begin(range, former, {
			now,
			isFenced: lastGrants.length > 0 && lastGrants.every(grant => grant?.isFenced === true),
			pendingSince: Math.max(Number.NEGATIVE_INFINITY, ...lastGrants.map(grant => pendingSince(grant, now))),
			lastSentAt: lastGrants.length === 0 ? now : Math.max(...lastGrants.map(grant => latestSend(grant, now))),
		});
	}

	private renewIfDue(range: RangeOwnership, now: number): void {
		const grant = this.grants.get(grantKey(range));
		const isDue = grant !== undefined && !grant.isInFlight && now >= grant.nextAt && !(this.isWithdrawing && grant.canWithdraw);
		if (isDue && this.options.findProcess(range.owner) === OwnerProcess.Running) {
			void this.sendGrant(range, grant);
		}
	}

	private async sendGrant(range: RangeOwnership, grant: GrantState): Promise<void> {
		const {
			control, findTarget, clock, timing, telemetry, service, onChange,
		} = this.options;
		const target = findTarget(range.owner);
		const sentAt = clock.now();
		grant.nextAt = sentAt + retryDelayMs;
		if (target === undefined) {
			return;
		}

		grant.isInFlight = true;
		grant.canWithdraw = false;
		const formerSentAt = grant.lastSentAt;
		grant.lastSentAt = sentAt;
		const handover = this.handovers.get(grantKey(range));
		const wasOpen = grant.isOpen;
		try {
			const reply = await control.grant(target, {
				from: range.from, to: range.to, fence: range.fence, leaseMs: timing.leaseMs, handover,
			}, timing.transitMs);
			this.silentOwners.recordAnswer(range.owner);
			if (reply === GrantReply.Accepted) {
				grant.acceptedSentAt = sentAt;
				grant.isOpen = true;
				grant.isFenced = true;
				grant.nextAt = sentAt + (timing.leaseMs * renewalShare);
			} else {
				this.handleRefusal(range, reply);
			}
		} catch (err) {
			grant.unansweredSentAt = sentAt;
			if (err instanceof UnsentError) {
				grant.lastSentAt = formerSentAt;
			}

			this.silentOwners.recordSilence(range, sentAt);
			telemetry.warn('keeper', 'The target did not answer a grant.', {
				service, owner: range.owner, from: range.from, to: range.to, fence: range.fence, err,
			});
		} finally {
			grant.isInFlight = false;
		}

		if (grant.isOpen !== wasOpen) {
			this.rangesRevision += 1;
			onChange();
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
