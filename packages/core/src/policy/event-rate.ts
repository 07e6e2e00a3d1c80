const msPerSecond = 1000;

/** Rate of events, as an exponentially decaying count. */
export class EventRate {
	private readonly halfLifeMs: number;
	private count = 0;
	private countedAt: number | undefined;

	/** `halfLifeMs` is the time in which the weight of an event halves, in milliseconds. */
	constructor(halfLifeMs: number) {
		this.halfLifeMs = halfLifeMs;
	}

	/** Records an event. */
	record(now: number): void {
		this.decay(now);
		this.count += 1;
	}

	/** Returns the events per second. */
	perSecond(now: number): number {
		this.decay(now);
		return this.count * Math.LN2 * msPerSecond / this.halfLifeMs;
	}

	private decay(now: number): void {
		this.count *= 0.5 ** (Math.max(0, now - (this.countedAt ?? now)) / this.halfLifeMs);
		this.countedAt = Math.max(now, this.countedAt ?? now);
	}
}
