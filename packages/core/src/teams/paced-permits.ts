const msPerSecond = 1000;

/**
 * Permits at a rate that is far below one request in the time that matters. There is one permit in each period, and it
 * can be used in a part of the period only, at a random phase. A token bucket with whole tokens would let each instance
 * run one request however low its rate is: 450 instances then exceeded the limit of a team with 33 requests a second twofold.
 */
export class PacedPermits {
	/** Number of the present period, with the passed part of it. */
	private position: number;
	private usedPeriod = -1;
	private at: number;

	/** `phase` is a random number between 0 and 1. */
	constructor(phase: number, now: number) {
		this.position = phase;
		this.at = now;
	}

	/** Advances at a rate in requests per second. */
	advance(rate: number, now: number): void {
		this.position += rate * Math.max(0, now - this.at) / msPerSecond;
		this.at = now;
	}

	/** Takes the permit of the present period, of which the first `usablePart` counts. Returns whether there was one. */
	take(usablePart: number): boolean {
		const period = Math.floor(this.position);
		if (period === this.usedPeriod || this.position - period > usablePart) {
			return false;
		}

		this.usedPeriod = period;
		return true;
	}

	/** Returns the time until the next period at a rate in requests per second, in milliseconds. */
	waitMs(rate: number): number {
		return (Math.floor(this.position) + 1 - this.position) / rate * msPerSecond;
	}
}
