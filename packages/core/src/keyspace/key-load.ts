import type {KeyRange} from './key-range.js';

/** Half-life of a measurement, in milliseconds; short enough to detect hot keys within a second or two. */
const defaultHalfLifeMs = 1200;

/** Half-life for the detection of surges, in milliseconds; a few times the interval of reports. */
export const recentHalfLifeMs = 400;

/** Decayed work below which a key is dropped, in milliseconds. */
const minWorkMs = 0.5;

/** Shortest time between two decays, in milliseconds. */
const decayIntervalMs = 200;

/** Weight of one request in the mean work. */
const meanWeight = 0.02;

/**
 * Requested work by key, as an exponentially decaying sum. Counts each key on
 * its own, since adjacent busy keys may have to move to different owners.
 */
export class KeyLoad {
	private readonly halfLifeMs: number;
	private readonly work = new Map<number, number>();
	private decayedAt: number | undefined;
	private startedAt: number | undefined;
	private mean: number | undefined;

	constructor(halfLifeMs = defaultHalfLifeMs) {
		this.halfLifeMs = halfLifeMs;
	}

	/** Mean work of a request, in milliseconds; undefined before the first request. */
	get meanWorkMs(): number | undefined {
		return this.mean;
	}

	/** Load of one request in busy slots, as measured. */
	get loadPerRequest(): number {
		return (this.mean ?? 0) * Math.LN2 / this.halfLifeMs;
	}

	/** Records a request for a key. `workMs` is its expected duration on an idle target of normal speed. */
	add(key: number, workMs: number, now: number): void {
		this.startedAt ??= now;
		this.mean ??= workMs;
		this.mean += (workMs - this.mean) * meanWeight;
		this.decay(now);
		this.work.set(key, (this.work.get(key) ?? 0) + workMs);
	}

	/** Returns the load by key in busy slots (milliseconds of work per millisecond), in order of keys. */
	rates(now: number): Array<readonly [key: number, busy: number]> {
		this.decay(now);
		const age = now - (this.startedAt ?? now);
		const span = (this.halfLifeMs / Math.LN2) * (1 - Math.exp(-age * Math.LN2 / this.halfLifeMs));
		const window = Math.max(decayIntervalMs, span);
		return [...this.work].map(([key, work]) => [key, work / window] as const).toSorted((a, b) => a[0] - b[0]);
	}

	private decay(now: number): void {
		this.decayedAt ??= now;
		const elapsed = now - this.decayedAt;
		if (elapsed < decayIntervalMs) {
			return;
		}

		const factor = 0.5 ** (elapsed / this.halfLifeMs);
		this.decayedAt = now;
		for (const [key, work] of this.work) {
			if (work * factor < minWorkMs) {
				this.work.delete(key);
			} else {
				this.work.set(key, work * factor);
			}
		}
	}
}

/** Returns the sum of the rates of the keys in a range. `rates` is in order of keys. */
export function sumRates(rates: ReadonlyArray<readonly [number, number]>, range: KeyRange): number {
	let sum = 0;
	for (const [key, rate] of rates) {
		if (key >= range.from && key <= range.to) {
			sum += rate;
		}
	}

	return sum;
}
