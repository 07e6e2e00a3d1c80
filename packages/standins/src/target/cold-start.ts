/** Settings of the cold start of a target. */
export type ColdStartOptions = {
	/** Number of requests that a warm target runs at the same time. */
	readonly slots: number;
	/** Number of requests served until the target is warm; 0 if it is never cold. */
	readonly coldRequests: number;
	/** Time from the first request until the target is warm, in milliseconds; 0 if only requests warm it. */
	readonly coldMs: number;
	/** Number of requests above the limit within one second that make the target fall over. */
	readonly fallOverAfter: number;
	/** Time for which the target refuses all requests after it fell over, in milliseconds. */
	readonly fallOverMs: number;
};

const excessWindowMs = 1000;

/** Capacity of a target that warms up after a start and falls over if it is overloaded while cold. */
export class ColdStart {
	private served = 0;
	private firstServedAt: number | undefined;
	private refusesUntil = Number.NEGATIVE_INFINITY;
	private excessTimes: number[] = [];
	private readonly options: ColdStartOptions;

	constructor(options: ColdStartOptions) {
		this.options = options;
	}

	/** Returns how far the target has warmed up at `now`, from 0 (cold) to 1 (warm). */
	warmUpProgress(now: number): number {
		const {coldRequests, coldMs} = this.options;
		if (coldRequests === 0) {
			return 1;
		}

		const byRequests = this.served / coldRequests;
		const elapsed = now - (this.firstServedAt ?? now);
		const byTime = coldMs > 0 ? elapsed / coldMs : 0;
		return Math.min(byRequests + byTime, 1);
	}

	/** Returns how many requests the target can run at the same time at `now`. */
	limit(now: number): number {
		return Math.floor(1 + (this.warmUpProgress(now) * (this.options.slots - 1)));
	}

	/** Returns whether the target refuses all requests at `now` because it fell over. */
	hasFallenOver(now: number): boolean {
		return now < this.refusesUntil;
	}

	/** Records a served request. */
	recordServed(now: number): void {
		this.firstServedAt ??= now;
		this.served++;
	}

	/** Records a request above the limit. Returns whether it makes the target fall over. */
	recordExcess(now: number): boolean {
		this.excessTimes = [...this.excessTimes.filter(at => at > now - excessWindowMs), now];
		if (this.excessTimes.length < this.options.fallOverAfter) {
			return false;
		}

		this.reset();
		this.refusesUntil = now + this.options.fallOverMs;
		return true;
	}

	/** Makes the target cold again. */
	reset(): void {
		this.served = 0;
		this.firstServedAt = undefined;
		this.excessTimes = [];
	}
}
