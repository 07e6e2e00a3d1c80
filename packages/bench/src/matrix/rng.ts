import {uniformFloat64} from 'pure-rand/distribution/uniformFloat64';
import {uniformInt} from 'pure-rand/distribution/uniformInt';
import {xoroshiro128plus} from 'pure-rand/generator/xoroshiro128plus';

/** Seeded random number generator. Equal seeds produce equal runs. */
export class Rng {
	private readonly generator: ReturnType<typeof xoroshiro128plus>;

	constructor(seed: number) {
		this.generator = xoroshiro128plus(seed);
	}

	/** Returns a number in [0, 1). */
	float(): number {
		return uniformFloat64(this.generator);
	}

	/** Returns a number in [min, max). */
	between(min: number, max: number): number {
		return min + (this.float() * (max - min));
	}

	/** Returns a random item. */
	pick<T>(items: readonly T[]): T {
		return items[uniformInt(this.generator, 0, items.length - 1)];
	}

	/** Returns true with the given probability. */
	chance(probability: number): boolean {
		return this.float() < probability;
	}

	/** Returns the items in random order. */
	shuffle<T>(items: readonly T[]): T[] {
		return items
			.map(item => ({item, rank: this.float()}))
			.toSorted((a, b) => a.rank - b.rank)
			.map(({item}) => item);
	}

	/** Returns a new generator whose numbers do not depend on later use of this one. */
	fork(): Rng {
		return new Rng(uniformInt(this.generator, 0, 0x7F_FF_FF_FF));
	}
}
