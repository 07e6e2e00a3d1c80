/** Length of the window in which starts are counted, in milliseconds; a little over a second, for requests take time to arrive. */
const windowMs = 1100;

/** Limit on the requests that a cold target receives in any second. */
export class ColdRateLimiter {
	private perSecond: number;
	private readonly starts: number[] = [];
	private coldUntil = Number.NEGATIVE_INFINITY;

	/** `perSecond` is the rate that a cold target bears. */
	constructor(perSecond: number) {
		this.perSecond = perSecond;
	}

	/** Takes note that the target is cold until a monotonic time. */
	markCold(until: number): void {
		this.coldUntil = Math.max(this.coldUntil, until);
	}

	/** Changes the rate. */
	setRate(perSecond: number): void {
		this.perSecond = perSecond;
	}

	/** Whether the target is cold. */
	isCold(now: number): boolean {
		return now < this.coldUntil;
	}

	/** Whether a request may start now. */
	mayStart(now: number): boolean {
		this.forget(now);
		return !this.isCold(now) || this.starts.length < Math.max(1, Math.floor(this.perSecond));
	}

	/** Counts a start. */
	recordStart(now: number): void {
		this.forget(now);
		this.starts.push(now);
	}

	/** When the next request may start, at the latest. */
	nextStartAt(now: number): number {
		if (this.mayStart(now)) {
			return now;
		}

		return Math.min(this.coldUntil, this.starts[0] + windowMs);
	}

	private forget(now: number): void {
		while (this.starts.length > 0 && this.starts[0] <= now - windowMs) {
			this.starts.shift();
		}
	}
}
