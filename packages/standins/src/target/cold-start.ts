/** How a target warms up. */
export type ColdStartOptions = {
	/** Requests that it works at the same time when warm. */
	readonly slots: number;
	/** Requests served until it is warm; 0 when it is never cold. */
	readonly coldRequests: number;
	/** Time from the first request until it is warm, in milliseconds; 0 for requests alone. */
	readonly coldMs: number;
	/** Requests beyond the bearable ones, within a second, that make it fall over. */
	readonly fallOverAfter: number;
	/** Time for which it refuses everything after it fell over, in milliseconds. */
	readonly fallOverMs: number;
};

const excessWindowMs = 1000;

/** Capacity of a target that ramps up after a start and collapses when pressed. */
export class ColdStart {
	private served = 0;
	private firstServedAt: number | undefined;
	private fallenUntil = Number.NEGATIVE_INFINITY;
	private excess: number[] = [];
	private readonly options: ColdStartOptions;

	constructor(options: ColdStartOptions) {
		this.options = options;
	}

	/** Share of the full capacity that it has at `now`, from 0 to 1. */
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

	/** Requests that it bears at the same time at `now`. */
	limit(now: number): number {
		return Math.floor(1 + (this.warmUpProgress(now) * (this.options.slots - 1)));
	}

	/** Whether it refuses everything at `now`. */
	hasFallenOver(now: number): boolean {
		return now < this.fallenUntil;
	}

	/** Counts a served request. */
	recordServed(now: number): void {
		this.firstServedAt ??= now;
		this.served++;
	}

	/** Counts a request beyond the bearable ones; returns whether the target falls over. */
	recordExcess(now: number): boolean {
		this.excess = [...this.excess.filter(at => at > now - excessWindowMs), now];
		if (this.excess.length < this.options.fallOverAfter) {
			return false;
		}

		this.reset();
		this.fallenUntil = now + this.options.fallOverMs;
		return true;
	}

	/** Makes it cold again. */
	reset(): void {
		this.served = 0;
		this.firstServedAt = undefined;
		this.excess = [];
	}
}
