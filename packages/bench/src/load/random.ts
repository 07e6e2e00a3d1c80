import {uniformFloat64} from 'pure-rand/distribution/uniformFloat64';
import {uniformInt} from 'pure-rand/distribution/uniformInt';
import {xoroshiro128plus} from 'pure-rand/generator/xoroshiro128plus';

/** Seeded random numbers. */
export class Random {
	private readonly rng;

	constructor(seed: number) {
		this.rng = xoroshiro128plus(seed);
	}

	/** Uniform number from 0 up to 1, without 1. */
	uniform(): number {
		return uniformFloat64(this.rng);
	}

	/** Uniform whole number from 0 up to `count`, without `count`. */
	integer(count: number): number {
		return uniformInt(this.rng, 0, count - 1);
	}

	/** Exponential number with a mean. */
	exponential(mean: number): number {
		return -Math.log(1 - this.uniform()) * mean;
	}
}
