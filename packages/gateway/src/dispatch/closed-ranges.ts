/** How long keys stay without an owner in a usual handover, in milliseconds; longer means a loss. */
const handoverMs = 450;

/** Time after which to come back for a key whose owner was lost, in milliseconds. */
const lostRetryMs = 700;

/** Ranges that are remembered. */
const maxRanges = 4096;

/**
 * Tells a handover, which is worth waiting for, from a loss, which is not.
 * Answers keys that nobody serves while they change hands.
 */
export class ClosedRanges {
	private readonly since = new Map<string, number>();

	/** Time for which a request for a closed range should wait, in milliseconds; 0 when it should be refused at once. */
	maxWaitMs(range: string, now: number): number {
		const since = this.since.get(range) ?? now;
		if (this.since.size >= maxRanges) {
			this.since.clear();
		}

		this.since.set(range, since);
		return Math.max(0, since + handoverMs - now);
	}

	/** Takes note that a range is served. */
	markOpen(range: string): void {
		this.since.delete(range);
	}

	/** When to come back for a key of a closed range, in milliseconds. */
	retryAfterMs(): number {
		return lostRetryMs;
	}
}
