import type {RangeOwnership} from '@bluebellyard/core';

/** What the leader knows of its grants of one range to one owner; all times are monotonic milliseconds. */
export type GrantState = {
	isInFlight: boolean;
	/** When the last accepted grant was sent. */
	acceptedSentAt: number;
	/** When the last grant without an answer was sent. */
	unansweredSentAt: number;
	nextAt: number;
	isOpen: boolean;
	/** Whether the owner accepted it from this leader, so that grants of former leaders are void. */
	isFenced: boolean;
};

/** When the oldest grant that may still be under way without an answer was sent; long ago when there is none. */
export function pendingSince(grant: GrantState | undefined, now: number): number {
	if (grant === undefined) {
		return Number.NEGATIVE_INFINITY;
	}

	return grant.isInFlight ? now : grant.unansweredSentAt;
}

/** A range that was not granted yet; `isOpen` when its owner is known to hold it all the same. */
export function newGrantState(isOpen: boolean): GrantState {
	return {
		isInFlight: false,
		acceptedSentAt: Number.NEGATIVE_INFINITY,
		unansweredSentAt: Number.NEGATIVE_INFINITY,
		nextAt: Number.NEGATIVE_INFINITY,
		isOpen,
		isFenced: false,
	};
}

/** Tells grants apart: a range under one token with one owner. */
export function grantKey({from, to, owner, fence}: RangeOwnership): string {
	return `${from}-${to}/${fence}@${owner}`;
}
