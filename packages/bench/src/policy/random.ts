import type {RandomGenerator} from 'pure-rand/types/RandomGenerator';
import {uniformFloat64} from 'pure-rand/distribution/uniformFloat64';
import {uniformInt} from 'pure-rand/distribution/uniformInt';
import {xoroshiro128plus} from 'pure-rand/generator/xoroshiro128plus';

/** Multiplier that spreads adjacent seeds. */
const seedSpread = 0x9E_37_79_B1;

/** Seeded random source with the distributions that the experiments use. */
export class Random {
	/** Underlying generator, for target selectors. */
	readonly rng: RandomGenerator;

	/** `stream` selects one of several independent sources of the same seed. */
	constructor(seed: number, stream: number) {
		this.rng = xoroshiro128plus(Math.imul(seed + 1, seedSpread) + Math.imul(stream + 1, 0x85_EB_CA_6B));
	}

	/** Draws from an exponential distribution with the given mean. */
	exponential(mean: number): number {
		return -mean * Math.log(1 - uniformFloat64(this.rng));
	}

	/** Draws from a lognormal distribution with the given median; `sigma` is the standard deviation of the logarithm. */
	lognormal(median: number, sigma: number): number {
		const radius = Math.sqrt(-2 * Math.log(1 - uniformFloat64(this.rng)));
		const angle = 2 * Math.PI * uniformFloat64(this.rng);
		return median * Math.exp(sigma * radius * Math.cos(angle));
	}

	/** Draws an integer from 0 to `count` - 1. */
	integer(count: number): number {
		return uniformInt(this.rng, 0, count - 1);
	}

	/** Draws `size` distinct integers from 0 to `count` - 1. */
	sample(count: number, size: number): number[] {
		const remaining = Array.from({length: count}, (_, i) => i);
		return Array.from({length: size}, () => remaining.splice(this.integer(remaining.length), 1)[0]);
	}
}
