/** Interval of the timer whose lateness is measured, in milliseconds. */
export const lagTickMs = 20;

/** Largest lateness that counts, in milliseconds. A process that was frozen is not overloaded for as long as it stood still. */
const maxLatenessMs = 1000;

/**
 * Time constant with which the delay falls, in milliseconds. After a lateness of `maxLatenessMs` it is below 10 ms within
 * 500 ms; with 200 ms it would still be above 80 ms, enough to reject requests with short objectives.
 */
const fallTimeMs = 100;

/**
 * Measures for how long work waits in this process, by the lateness of a timer that is called every `lagTickMs`.
 *
 * The delay rises to a greater lateness at once and falls slowly, as the lateness is small now and then under overload, too.
 */
export class LagMeter {
	private smoothedMs = 0;
	private tickedAt: number;

	constructor(now: number) {
		this.tickedAt = now;
	}

	/** Records a call of the timer. */
	tick(now: number): void {
		const latenessMs = this.latenessMs(now);
		if (latenessMs > this.smoothedMs) {
			this.smoothedMs = latenessMs;
		} else {
			this.smoothedMs += (latenessMs - this.smoothedMs) * (1 - Math.exp((this.tickedAt - now) / fallTimeMs));
		}

		this.tickedAt = now;
	}

	/** Returns the delay that work in this process has now, in milliseconds. A timer that is overdue counts before it is called. */
	delayMs(now: number): number {
		return Math.max(this.smoothedMs, this.latenessMs(now));
	}

	private latenessMs(now: number): number {
		return Math.min(maxLatenessMs, Math.max(0, now - this.tickedAt - lagTickMs));
	}
}
