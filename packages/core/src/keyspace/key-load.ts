import type {KeyRange} from './key-range.js';

/** Time in which an old measurement loses half of its weight, in milliseconds: hot keys must be seen within a second or two. */
const defaultHalfLifeMs = 1200;

/** Weight below which a key is forgotten, in milliseconds of work. */
const forgottenWork = 0.5;

/** Time between two decays, in milliseconds. */
const decayEveryMs = 200;

/**
 * Work asked for by key, as a decaying sum. Single keys are counted, since
 * busy keys may be neighbours that have to part.
 */
export class KeyLoad {
	private readonly halfLifeMs: number;
	private readonly work = new Map<number, number>();
	private decayedAt: number | undefined;
	private startedAt: number | undefined;

	constructor(halfLifeMs = defaultHalfLifeMs) {
		this.halfLifeMs = halfLifeMs;
	}

	/** Counts a request for a key; `workMs` is its time on an idle target of usual speed. */
	add(key: number, workMs: number, now: number): void {
		this.startedAt ??= now;
		this.decay(now);
		this.work.set(key, (this.work.get(key) ?? 0) + workMs);
	}

	/** Work asked for by key, in slots kept busy: milliseconds of work a millisecond. */
	rates(now: number): Array<readonly [key: number, busy: number]> {
		this.decay(now);
		const age = now - (this.startedAt ?? now);
		const span = (this.halfLifeMs / Math.LN2) * (1 - Math.exp(-age * Math.LN2 / this.halfLifeMs));
		const window = Math.max(decayEveryMs, span);
		return [...this.work].map(([key, work]) => [key, work / window] as const).toSorted((a, b) => a[0] - b[0]);
	}

	private decay(now: number): void {
		this.decayedAt ??= now;
		const elapsed = now - this.decayedAt;
		if (elapsed < decayEveryMs) {
			return;
		}

		const factor = 0.5 ** (elapsed / this.halfLifeMs);
		this.decayedAt = now;
		for (const [key, work] of this.work) {
			if (work * factor < forgottenWork) {
				this.work.delete(key);
			} else {
				this.work.set(key, work * factor);
			}
		}
	}
}

/** Sum of the rates of the keys in a range; `rates` in order of keys. */
export function sumRates(rates: ReadonlyArray<readonly [number, number]>, range: KeyRange): number {
	let sum = 0;
	for (const [key, rate] of rates) {
		if (key >= range.from && key <= range.to) {
			sum += rate;
		}
	}

	return sum;
}
