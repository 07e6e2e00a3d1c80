import type {Random} from './random.js';

/** Options for the distribution of keys. */
export type KeyOptions = {
	/** Number of distinct keys. */
	readonly count: number;
	/** Exponent of the Zipf distribution; 0 for uniform keys. */
	readonly exponent: number;
	/** Interval after which other keys become the hot ones, in milliseconds; 0 for never. */
	readonly shiftMs: number;
};

/** Prime and larger than any key count, so that successive shifts reach all keys. */
const shiftStep = 2_147_483_647;

/** Draws keys with a Zipf distribution whose hot set shifts. */
export class KeySource {
	/** Cumulative probability of each rank. */
	private readonly cumulative: Float64Array;
	private readonly options: KeyOptions;

	constructor(options: KeyOptions) {
		this.options = options;
		this.cumulative = computeCumulativeZipf(options);
	}

	/** Draws the key of a request that is sent `elapsedMs` after the start. */
	next(random: Random, elapsedMs: number): string {
		const {count, shiftMs} = this.options;
		const shifts = shiftMs > 0 ? Math.floor(elapsedMs / shiftMs) : 0;
		const rank = findLowerBound(this.cumulative, random.uniform());
		return `k${(rank + (shifts * shiftStep)) % count}`;
	}
}

function computeCumulativeZipf({count, exponent}: KeyOptions): Float64Array {
	const sums = new Float64Array(count);
	let sum = 0;
	for (let rank = 0; rank < count; rank++) {
		sum += 1 / ((rank + 1) ** exponent);
		sums[rank] = sum;
	}

	return sums.map(value => value / sum);
}

/** Returns the index of the first value that is at least `minimum`. */
function findLowerBound(sorted: Float64Array, minimum: number): number {
	let low = 0;
	let high = sorted.length - 1;
	while (low < high) {
		const middle = Math.floor((low + high) / 2);
		if (sorted[middle] < minimum) {
			low = middle + 1;
		} else {
			high = middle;
		}
	}

	return low;
}
