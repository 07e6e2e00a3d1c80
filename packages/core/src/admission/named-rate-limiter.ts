/** Smallest rate used, in requests per second: without any request nothing would tell that the limit has ended. */
const minPerSecond = 0.25;

/** Time in which unused requests accumulate, in milliseconds, so that timers that fire late do not lower the rate. */
const burstMs = 200;

/** Time after the end of a limit in which the rate rises, in milliseconds. */
const recoveryMs = 4000;

/** Time in which the rate doubles after the end of a limit, in milliseconds. */
const doublingMs = 500;

/** Absorbs rounding errors of the accumulated requests. */
const epsilon = 1e-6;

const msPerSecond = 1000;

/**
 * Limits the requests to a target to the rate that the target named, as a token bucket that starts empty: a former sender
 * may have used what was allowed. After the end of the limit the rate rises step by step, so that load does not come back at once.
 */
export class NamedRateLimiter {
	/** Named limit in requests per second; undefined if the target names none. */
	private limit: number | undefined;
	private formerLimit = 0;
	private endedAt = Number.NEGATIVE_INFINITY;
	private share = 1;
	private tokens = 0;
	private refilledAt = Number.NEGATIVE_INFINITY;

	/** Whether the target names a limit. */
	get isLimited(): boolean {
		return this.limit !== undefined;
	}

	/** Returns the present rate in requests per second; infinite without a limit. */
	rate(now: number): number {
		if (this.limit !== undefined) {
			return Math.max(minPerSecond, this.limit) * this.share;
		}

		const sinceEnd = now - this.endedAt;
		return sinceEnd < recoveryMs ? Math.max(minPerSecond, this.formerLimit) * (2 ** (sinceEnd / doublingMs)) : Number.POSITIVE_INFINITY;
	}

	/** Sets the limit that the target names, in requests per second; undefined for none. */
	setLimit(limit: number | undefined, now: number): void {
		if (limit === this.limit) {
			return;
		}

		this.refill(now);
		if (limit === undefined) {
			this.formerLimit = this.limit!;
			this.endedAt = now;
		} else if (this.limit === undefined) {
			this.tokens = 0;
		}

		this.limit = limit;
		this.tokens = Math.min(this.tokens, this.burst(now));
	}

	/** Sets the share of the limit that this instance uses, from 0 to 1. */
	setShare(share: number, now: number): void {
		if (share !== this.share) {
			this.refill(now);
			this.share = share;
		}
	}

	/** Returns whether a request may start now. */
	mayStart(now: number): boolean {
		return this.nextStartAt(now) <= now;
	}

	/** Records the start of a request. */
	recordStart(now: number): void {
		this.refill(now);
		this.tokens = Math.max(0, this.tokens - 1);
	}

	/** Returns the earliest monotonic time at which the next request may start, in milliseconds. */
	nextStartAt(now: number): number {
		const rate = this.rate(now);
		if (!Number.isFinite(rate)) {
			return now;
		}

		this.refill(now);
		return this.tokens >= 1 - epsilon ? now : now + Math.ceil((1 - this.tokens) * msPerSecond / rate);
	}

	private burst(now: number): number {
		return 1 + (this.rate(now) * burstMs / msPerSecond);
	}

	private refill(now: number): void {
		// While the rate rises, the one at the last refill is the lower one.
		const rate = this.rate(this.refilledAt);
		const elapsed = Math.max(0, now - this.refilledAt);
		this.refilledAt = now;
		this.tokens = Number.isFinite(rate) && Number.isFinite(elapsed) ? Math.min(this.burst(now), this.tokens + (rate * elapsed / msPerSecond)) : 0;
	}
}
