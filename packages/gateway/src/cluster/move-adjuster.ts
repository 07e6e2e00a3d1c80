/**
 * Adjusts planned moves of keys to grants that were not answered. Such a grant may still be carried out, so a range
 * that its owner loses stays closed until the lease of that grant has certainly expired, up to 6.7 s.
 */
import {
	leaseExpiry, overlaps, type FormerOwner, type KeyMove, type LeaseTiming, type RangeOwnership,
} from '@bluebellyard/core';
import {rejectsFormerGrants, type GrantState} from './grant.js';

/** Shortest wait for a former owner at which it gets its range back instead, in milliseconds; the write and the grant take less. */
const minReturnWaitMs = 500;

/** Time in which ranges go back to one owner only once, in milliseconds; an owner that falls silent again and again must lose them. */
const returnIntervalMs = 15_000;

/** What is known of the grants of a service. */
export type MoveState = {
	readonly now: number;
	/** Monotonic time at which all grants of former leaders have certainly expired. */
	readonly inheritedLeaseEnd: number;
	/** Monotonic time from which no grant of a former leader arrives at a target. */
	readonly inheritedArrivalEnd: number;
	readonly ranges: readonly RangeOwnership[];
	/** Targets that may own keys. */
	readonly usableIds: ReadonlySet<string>;
	/** Returns what is known of the grants of a range to its owner. */
	readonly findGrant: (range: RangeOwnership) => Readonly<GrantState> | undefined;
	/** Returns the latest time at which a grant of a range was sent to a former owner that may still be carried out; negative infinity without one. */
	readonly formerPendingSince: (range: RangeOwnership, former: FormerOwner) => number;
};

/** Adjusts the moves of one service. */
export class MoveAdjuster {
	/** When ranges were last returned to an owner. */
	private readonly returnedAt = new Map<string, number>();
	private readonly timing: LeaseTiming;

	constructor(timing: LeaseTiming) {
		this.timing = timing;
	}

	/**
	 * Returns the moves to make. A range that waits for a former owner which may own keys again goes back to it. One whose
	 * owner has not answered a grant first gets a new fencing token, and moves once its owner has accepted that. In both
	 * cases the owner rejects the unanswered grant from then on. A range on its way to an owner that may have it stays there.
	 * A range whose owner may keep it stays while grants of a lost leader may arrive: a release does not count until then,
	 * so that the range would be closed for up to 12.5 s.
	 */
	adjust(moves: readonly KeyMove[], state: MoveState): KeyMove[] {
		const returns = this.findReturns(state);
		for (const {owner} of returns) {
			this.returnedAt.set(owner, state.now);
		}

		const others = moves.filter(move => !returns.some(range => overlaps(range, move)));
		return [...returns, ...others.flatMap(move => this.renewBeforeMove(move, state))];
	}

	private findReturns({ranges, usableIds, formerPendingSince, now}: MoveState): KeyMove[] {
		return ranges.flatMap(range => {
			const [former] = range.formers;
			const isReturn = range.formers.length === 1
				&& usableIds.has(former.owner)
				&& now - (this.returnedAt.get(former.owner) ?? Number.NEGATIVE_INFINITY) > returnIntervalMs
				&& leaseExpiry(formerPendingSince(range, former), this.timing) - now > minReturnWaitMs;
			return isReturn ? [{from: range.from, to: range.to, owner: former.owner}] : [];
		});
	}

	private renewBeforeMove(move: KeyMove, {ranges, usableIds, findGrant, now, inheritedLeaseEnd, inheritedArrivalEnd}: MoveState): KeyMove[] {
		const isOnItsWay = ranges.some(range => range.formers.length > 0 && usableIds.has(range.owner) && overlaps(range, move));
		if (isOnItsWay) {
			// Each further move would add an owner that has to release the range before it is open again.
			return [];
		}

		const mayCount = (sentAt = Number.NEGATIVE_INFINITY) => leaseExpiry(sentAt, this.timing) > now;
		const parts = ranges.filter(range => overlaps(range, move) && usableIds.has(range.owner) && range.owner !== move.owner);
		if (parts.some(range => mayCount(findGrant(range)?.unansweredSentAt))) {
			return parts.map(range => ({from: Math.max(range.from, move.from), to: Math.min(range.to, move.to), owner: range.owner}));
		}

		if (now < inheritedArrivalEnd && parts.length > 0) {
			return [];
		}

		// The owner has not accepted the present token yet, so that it does not reject earlier grants.
		const isUnfenced = parts.some(range => mayCount(findGrant(range)?.formerUnansweredSentAt) || (now < inheritedLeaseEnd && !rejectsFormerGrants(findGrant(range), inheritedArrivalEnd, now)));
		return isUnfenced ? [] : [move];
	}
}
