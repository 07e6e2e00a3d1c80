/** Window in which starts are counted, in milliseconds; longer than a second because the time that requests take to arrive varies. */
const windowMs = 1100;

const msPerSecond = 1000;

/** Limits the requests that a cold target receives in any second. */
export class ColdRateLimiter {
	private perSecond: number;
	private readonly starts: number[] = [];
	private coldUntil = Number.NEGATIVE_INFINITY;
	private share = 1;

	/** `perSecond` is the request rate that a cold target can handle. */
	constructor(perSecond: number) {
		this.perSecond = perSecond;
	}

	/** Marks the target as cold until the given monotonic time. */
	markCold(until: number): void {
		this.coldUntil = Math.max(this.coldUntil, until);
	}

	/** Sets the request rate for the cold target, per second. */
	setRate(perSecond: number): void {
		this.perSecond = perSecond;
	}

	/** Sets the share of the rate that this instance uses, from 0 to 1. */
	setShare(share: number): void {
		this.share = share;
	}

	isCold(now: number): boolean {
		return now < this.coldUntil;
	}

	/** Returns the present rate in requests per second; infinite while the target is warm. */
	rate(now: number): number {
		return this.isCold(now) ? this.maxStarts * msPerSecond / windowMs : Number.POSITIVE_INFINITY;
	}

	/** Returns whether a request may start now. */
	mayStart(now: number): boolean {
		this.dropOldStarts(now);
		return !this.isCold(now) || this.starts.length < this.maxStarts;
	}

	/** Records the start of a request. */
	recordStart(now: number): void {
		this.dropOldStarts(now);
		this.starts.push(now);
	}

	/** Returns the latest monotonic time at which the next request may start. */
	nextStartAt(now: number): number {
		if (this.mayStart(now)) {
			return now;
		}

		return Math.min(this.coldUntil, this.starts[this.starts.length - this.maxStarts] + windowMs);
	}

	/** Number of requests that may start within a window. */
	private get maxStarts(): number {
		return Math.max(1, Math.floor(this.perSecond * this.share));
	}

	private dropOldStarts(now: number): void {
		while (this.starts.length > 0 && this.starts[0] <= now - windowMs) {
			this.starts.shift();
		}
	}
}
