import type {LeaseTiming, RangeOwnership} from '@bluebellyard/core';

/** The leader's record of its grants of one range to one owner. All times are monotonic milliseconds. */
export type GrantState = {
	isInFlight: boolean;
	/** Time at which the last accepted grant was sent. */
	acceptedSentAt: number;
	/** Time at which the last unanswered grant was sent. */
	unansweredSentAt: number;
	/** The same for grants with a lower fencing token, which the owner rejects once it has accepted the present one. */
	formerUnansweredSentAt: number;
	/** Latest time at which this leader sent a grant that may have reached the owner; negative infinity if it sent none. */
	lastSentAt: number;
	/** Time from which the next grant may be sent. */
	nextAt: number;
	/** Whether the owner is known to hold the range, so that requests may be routed to it. */
	isOpen: boolean;
	/** Whether the owner accepted a grant of this leader; it then rejects grants of former leaders. */
	isFenced: boolean;
};

/** Returns the latest time at which a still unanswered grant may have been sent; negative infinity if there is none. */
export function pendingSince(grant: GrantState | undefined, now: number): number {
	if (grant === undefined) {
		return Number.NEGATIVE_INFINITY;
	}

	return grant.isInFlight ? now : Math.max(grant.unansweredSentAt, grant.formerUnansweredSentAt);
}

/** Returns the latest time at which this leader sent a grant that may have reached the owner. Without a record of its grants it may have sent one just now. */
export function latestSend(grant: GrantState | undefined, now: number): number {
	return grant === undefined || grant.isInFlight ? now : grant.lastSentAt;
}

/** Records that the owner accepted a grant. */
export function recordAccepted(grant: GrantState, sentAt: number, {transitMs}: LeaseTiming): void {
	grant.acceptedSentAt = sentAt;
	grant.isOpen = true;
	grant.isFenced = true;
	if (sentAt >= grant.formerUnansweredSentAt + transitMs) {
		// Those grants had arrived by then, so that not even a process that replaces this one can receive them.
		grant.formerUnansweredSentAt = Number.NEGATIVE_INFINITY;
	}
}

/** Returns the state of a range that this leader has not granted yet; `isOpen` if its owner is known to hold it anyway. */
export function createGrantState(isOpen: boolean): GrantState {
	return {
		isInFlight: false,
		acceptedSentAt: Number.NEGATIVE_INFINITY,
		unansweredSentAt: Number.NEGATIVE_INFINITY,
		formerUnansweredSentAt: Number.NEGATIVE_INFINITY,
		lastSentAt: Number.NEGATIVE_INFINITY,
		nextAt: Number.NEGATIVE_INFINITY,
		isOpen,
		isFenced: false,
	};
}

/**
 * Returns whether an owner rejects grants of former leaders that may still be carried out, as it accepted one of this
 * leader. Once none can arrive any more, at `arrivalEnd`, one that was sent before does not count: the owner may have
 * restarted since, and its process may not know the token while a grant of a former leader waits there.
 */
export function rejectsFormerGrants(grant: Readonly<GrantState> | undefined, arrivalEnd: number, now: number): boolean {
	return grant?.isFenced === true && (now < arrivalEnd || grant.acceptedSentAt >= arrivalEnd);
}

/** Returns whether no grant was sent since `arrivalEnd`, so that one is due for the owner to reject those of former leaders. */
export function isOutdated(grant: Readonly<GrantState>, arrivalEnd: number, now: number): boolean {
	return now >= arrivalEnd && grant.lastSentAt < arrivalEnd && Number.isFinite(grant.lastSentAt);
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
	if (!hasSameOwner || former.at(0) === undefined) {
		// The owner may have had a part of the range before, and grants of it may still be valid.
		grant.lastSentAt = now;
		return grant;
	}

	grant.formerUnansweredSentAt = Math.max(...former.map(old => pendingSince(old, now)));
	grant.lastSentAt = Math.max(...former.map(old => latestSend(old, now)));
	grant.isFenced = former.every(old => old?.isFenced === true);
	grant.nextAt = now;
	if (replaced.every(old => old.fence === range.fence)) {
		grant.unansweredSentAt = grant.formerUnansweredSentAt;
		grant.formerUnansweredSentAt = Number.NEGATIVE_INFINITY;
		grant.acceptedSentAt = Math.min(...former.map(old => old?.acceptedSentAt ?? Number.NEGATIVE_INFINITY));
		grant.nextAt = Math.min(...former.map(old => old?.nextAt ?? now));
	}

	return grant;
}
