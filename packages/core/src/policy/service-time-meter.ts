import {LatencyWindow} from './latency-window.js';

/** Weight of a new sample in the mean service time. */
const meanWeight = 0.1;

/** Samples by which other instances judge the speed of the target. */
const recentSamples = 8;

/** Answers without which nothing is said of the speed of the target. */
const minSamples = 4;

/** Time after which the last answer says nothing more of the target's speed, in milliseconds. */
const staleMs = 1000;

/** Quantile of the service time below which an answer is not to be expected. */
const quickQuantile = 0.1;

/**
 * Service times of one target as its steward sees them.
 */
export class ServiceTimeMeter {
	private readonly window = new LatencyWindow();
	private readonly recent = new LatencyWindow(recentSamples);
	private meanMs: number | undefined;
	private changedAt = Number.NEGATIVE_INFINITY;

	/** Mean time for one request, in milliseconds. */
	get mean(): number | undefined {
		return this.meanMs;
	}

	/** Whether there are enough answers to say something of the speed. */
	get isKnown(): boolean {
		return this.window.count >= minSamples;
	}

	/** Median of the last few requests, in milliseconds; undefined when they are too few or long ago. */
	recentMedian(now: number): number | undefined {
		return this.isKnown && now - this.changedAt <= staleMs ? this.recent.quantile(0.5) : undefined;
	}

	/** Least time in which an answer may be expected, in milliseconds; 0 when not known. */
	get quickestMs(): number {
		return this.isKnown ? this.window.quantile(quickQuantile) ?? 0 : 0;
	}

	/** Takes the time of a whole answer, in milliseconds. */
	recordAnswer(latency: number, now: number): void {
		this.changedAt = now;
		this.window.add(latency);
		this.recent.add(latency);
		this.meanMs = this.meanMs === undefined ? latency : this.meanMs + ((latency - this.meanMs) * meanWeight);
	}

	/** Takes the age of a cancelled request, in milliseconds; it is a lower bound of its service time. */
	recordCancelled(age: number, now: number): void {
		if (this.meanMs !== undefined && age > this.meanMs) {
			this.changedAt = now;
			this.meanMs += (age - this.meanMs) * meanWeight;
			this.recent.add(age);
		}
	}
}

/**
 * Service time by what is typical and by the ages of what runs, in milliseconds:
 * the harmonic mean over the slots in use, so that one stuck request counts as one slot less.
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
