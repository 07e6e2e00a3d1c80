/** Longest time for which a handover usually leaves keys without an owner, in milliseconds; after it the owner counts as lost. */
const maxHandoverMs = 450;

/** Retry delay reported for a key whose owner was lost, in milliseconds. */
const lostRetryMs = 700;

/** Largest number of closed ranges tracked at a time. */
const maxRanges = 4096;

/**
 * Tracks for how long ranges of keys have had no open owner. Requests wait for
 * the end of a handover, which is short, and are refused once the owner counts
 * as lost.
 */
export class ClosedRanges {
	/** When each range was first seen closed, in monotonic milliseconds. */
	private readonly closedAt = new Map<string, number>();

	/** Returns how long a request for a closed range should wait, in milliseconds; 0 if it should be refused immediately. */
	maxWaitMs(range: string, now: number): number {
		const closedAt = this.closedAt.get(range) ?? now;
		if (this.closedAt.size >= maxRanges) {
			this.closedAt.clear();
		}

		this.closedAt.set(range, closedAt);
		return Math.max(0, closedAt + maxHandoverMs - now);
	}

	/** Marks a range as open. */
	markOpen(range: string): void {
		this.closedAt.delete(range);
	}

	/** Returns the retry delay for a key of a closed range, in milliseconds. */
	retryAfterMs(): number {
		return lostRetryMs;
	}
}
