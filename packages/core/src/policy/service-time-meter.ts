import {LatencyWindow} from './latency-window.js';

/** Weight of a new sample in the moving average of service times. */
const meanWeight = 0.1;

/** Number of latest samples in the median that is reported to other instances. */
const recentSamples = 8;

/** Number of answers from which the service time counts as known. */
const minSamples = 4;

/** Age of the last sample above which the recent median is stale, in milliseconds. */
const staleMs = 1000;

/** Quantile of the service time taken as the shortest time in which an answer can be expected. */
const quickQuantile = 0.1;

/**
 * Service times of one target as measured by its steward.
 */
export class ServiceTimeMeter {
	private readonly window = new LatencyWindow();
	private readonly recent = new LatencyWindow(recentSamples);
	private meanMs: number | undefined;
	private changedAt = Number.NEGATIVE_INFINITY;

	/** Mean service time, in milliseconds; undefined before the first answer. */
	get mean(): number | undefined {
		return this.meanMs;
	}

	/** Whether there are enough answers to know the service time. */
	get isKnown(): boolean {
		return this.window.count >= minSamples;
	}

	/** Returns the median of the latest requests, in milliseconds; undefined when they are too few or too old. */
	recentMedian(now: number): number | undefined {
		return this.isKnown && now - this.changedAt <= staleMs ? this.recent.quantile(0.5) : undefined;
	}

	/** Shortest time in which an answer can be expected, in milliseconds; 0 when not known. */
	get quickestMs(): number {
		return this.isKnown ? this.window.quantile(quickQuantile) ?? 0 : 0;
	}

	/** Records the service time of a complete answer, in milliseconds. */
	recordAnswer(latency: number, now: number): void {
		this.changedAt = now;
		this.window.add(latency);
		this.recent.add(latency);
		this.meanMs = this.meanMs === undefined ? latency : this.meanMs + ((latency - this.meanMs) * meanWeight);
	}

	/** Records the age of a cancelled request, in milliseconds, which is a lower bound of its service time. */
	recordCancelled(age: number, now: number): void {
		if (this.meanMs !== undefined && age > this.meanMs) {
			this.changedAt = now;
			this.meanMs += (age - this.meanMs) * meanWeight;
			this.recent.add(age);
		}
	}
}

/**
 * Returns the service time in milliseconds, from the typical one and the ages of the requests in flight:
 * their harmonic mean over the slots in use, so that one stuck request counts as one slot less.
 */
export function adjustForAges(typical: number | undefined, ages: readonly number[]): number | undefined {
	if (typical === undefined || ages.length === 0) {
		return typical;
	}

	let rate = 0;
	for (const age of ages) {
		rate += 1 / Math.max(typical, age);
	}

	return ages.length / rate;
}
