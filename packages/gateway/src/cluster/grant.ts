import {leaseExpiry, type LeaseTiming, type RangeOwnership} from '@bluebellyard/core';

/** The leader's record of its grants of one range to one owner. All times are monotonic milliseconds. */
export type GrantState = {
	isInFlight: boolean;
	/** Time at which the last accepted grant was sent. */
	acceptedSentAt: number;
	/** Time at which the last unanswered grant was sent. */
	unansweredSentAt: number;
	/** Latest time at which this leader sent a grant that may have reached the owner; negative infinity if it sent none. */
	lastSentAt: number;
	/** Time from which the next grant may be sent. */
	nextAt: number;
	/** Whether the owner is known to hold the range, so that requests may be routed to it. */
	isOpen: boolean;
	/** Whether the owner accepted a grant of this leader; it then rejects grants of former leaders. */
	isFenced: boolean;
	/** Whether the keys came from a single owner and were never granted to the present one, so that the move can be withdrawn. */
	canWithdraw: boolean;
};

/** What decides whether a move of a range would be completed soon. */
export type MoveCircumstances = {
	readonly now: number;
	readonly timing: LeaseTiming;
	/** Monotonic time at which all grants of former leaders have certainly expired. */
	readonly inheritedLeaseEnd: number;
};

/**
 * Returns whether a release would suffice to move a range. A grant that is unanswered, or sent before the move is
 * written, and grants of former leaders that the owner does not reject keep the range closed until they have expired.
 */
export function isMovable(grant: GrantState, {now, timing, inheritedLeaseEnd}: MoveCircumstances): boolean {
	const isSettled = !grant.isInFlight && now < grant.nextAt && now >= leaseExpiry(grant.unansweredSentAt, timing);
	return isSettled && (grant.isFenced || now >= inheritedLeaseEnd);
}

/** Returns the latest time at which a still unanswered grant may have been sent; negative infinity if there is none. */
export function pendingSince(grant: GrantState | undefined, now: number): number {
	if (grant === undefined) {
		return Number.NEGATIVE_INFINITY;
	}

	return grant.isInFlight ? now : grant.unansweredSentAt;
}

/** Returns the latest time at which this leader sent a grant that may have reached the owner. Without a record of its grants it may have sent one just now. */
export function latestSend(grant: GrantState | undefined, now: number): number {
	return grant === undefined || grant.isInFlight ? now : grant.lastSentAt;
}

/** Returns the state of a range that this leader has not granted yet; `isOpen` if its owner is known to hold it anyway. */
export function createGrantState(isOpen: boolean): GrantState {
	return {
		isInFlight: false,
		acceptedSentAt: Number.NEGATIVE_INFINITY,
		unansweredSentAt: Number.NEGATIVE_INFINITY,
		lastSentAt: Number.NEGATIVE_INFINITY,
		nextAt: Number.NEGATIVE_INFINITY,
		isOpen,
		isFenced: false,
		canWithdraw: false,
	};
}

/** Returns the key that identifies a grant: the range, its fencing token and its owner. */
export function grantKey({from, to, owner, fence}: RangeOwnership): string {
	return `${from}-${to}/${fence}@${owner}`;
}

/** Returns the state of a range that replaces others: they remain granted if their owner stays. */
export function inheritGrantState(range: RangeOwnership, replaced: readonly RangeOwnership[], grants: ReadonlyMap<string, GrantState>, now: number): GrantState {
	const former = replaced.map(old => grants.get(grantKey(old)));
	const hasSameOwner = replaced.every(old => old.owner === range.owner);
	const grant = createGrantState(hasSameOwner && former.every(old => old?.isOpen === true));
	grant.canWithdraw = range.formers.length === 1 && replaced.every(old => old.formers.length === 0 && old.owner === range.formers[0].owner);
	if (!hasSameOwner || former.at(0) === undefined) {
		// The owner may have had a part of the range before, and grants of it may still be valid.
		grant.lastSentAt = now;
		return grant;
	}

	grant.unansweredSentAt = Math.max(...former.map(old => pendingSince(old, now)));
	grant.lastSentAt = Math.max(...former.map(old => latestSend(old, now)));
	grant.isFenced = former.every(old => old?.isFenced === true);
	grant.nextAt = now;
	if (replaced.every(old => old.fence === range.fence)) {
		grant.acceptedSentAt = Math.min(...former.map(old => old?.acceptedSentAt ?? Number.NEGATIVE_INFINITY));
		grant.nextAt = Math.min(...former.map(old => old?.nextAt ?? now));
	}

	return grant;
}
