import {uniformFloat64} from 'pure-rand/distribution/uniformFloat64';
import {xoroshiro128plus} from 'pure-rand/generator/xoroshiro128plus';

/** Distribution of the service times. */
export enum ServiceShape {
	/** Always the mean. */
	Fixed = 'fixed',
	/** Exponentially distributed with the given mean. */
	Exponential = 'exponential',
}

/** Seeded generator of service times. */
export class ServiceTime {
	private readonly rng;

	constructor(
		private readonly meanMs: number,
		private readonly shape: ServiceShape,
		seed: number,
	) {
		this.rng = xoroshiro128plus(seed);
	}

	/** Returns the next service time in milliseconds. */
	next(): number {
		if (this.shape === ServiceShape.Fixed) {
			return this.meanMs;
		}

		return -Math.log(1 - uniformFloat64(this.rng)) * this.meanMs;
	}
}
