import {uniformInt} from 'pure-rand/distribution/uniformInt';
import {xoroshiro128plus} from 'pure-rand/generator/xoroshiro128plus';

/** Bounds of the backoff delay, in milliseconds. */
export type BackoffOptions = {
	readonly minMs: number;
	readonly maxMs: number;
};

/** Exponential backoff: the delay doubles with each failure, with jitter from a seeded generator. */
export class Backoff {
	private failures = 0;
	private readonly options: BackoffOptions;
	private readonly rng: ReturnType<typeof xoroshiro128plus>;

	constructor(options: BackoffOptions, seed: number) {
		this.options = options;
		this.rng = xoroshiro128plus(seed);
	}

	/** Records a failure and returns the delay before the next attempt, in milliseconds, at most `maxMs`. */
	nextMs(): number {
		const boundMs = Math.min(this.options.maxMs, this.options.minMs * (2 ** this.failures));
		this.failures++;
		return uniformInt(this.rng, Math.ceil(boundMs / 2), Math.ceil(boundMs));
	}

	/** Records a success; the next delay starts at `minMs` again. */
	reset(): void {
		this.failures = 0;
	}
}
