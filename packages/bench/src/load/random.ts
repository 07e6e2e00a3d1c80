import {uniformFloat64} from 'pure-rand/distribution/uniformFloat64';
import {uniformInt} from 'pure-rand/distribution/uniformInt';
import {xoroshiro128plus} from 'pure-rand/generator/xoroshiro128plus';

/** Seeded random number generator. */
export class Random {
	private readonly rng;

	constructor(seed: number) {
		this.rng = xoroshiro128plus(seed);
	}

	/** Draws a uniform number from 0 (inclusive) to 1 (exclusive). */
	uniform(): number {
		return uniformFloat64(this.rng);
	}

	/** Draws a uniform integer from 0 to `count` - 1. */
	integer(count: number): number {
		return uniformInt(this.rng, 0, count - 1);
	}

	/** Draws from an exponential distribution with the given mean. */
	exponential(mean: number): number {
		return -Math.log(1 - this.uniform()) * mean;
	}
}
