/** Relative step of an estimate per sample. */
const stepShare = 0.05;

/** Number of first samples whose maximum is the estimate. */
const warmUpSamples = 5;

/**
 * Streaming estimate of one quantile in constant space.
 * Each sample above the estimate raises it by a share of itself, and each other sample lowers it,
 * in the proportion that balances at the quantile. The estimate therefore follows a changing load.
 */
export class QuantileEstimate {
	private readonly q: number;
	private estimate = 0;
	private sampleCount = 0;

	/** Estimates the `q` quantile (0 to 1, exclusive). */
	constructor(q: number) {
		this.q = q;
	}

	/** The estimate in the unit of the samples; undefined before the first sample. */
	get value(): number | undefined {
		return this.sampleCount === 0 ? undefined : this.estimate;
	}

	add(sample: number): void {
		this.sampleCount += 1;
		if (this.sampleCount <= warmUpSamples) {
			this.estimate = Math.max(this.estimate, sample);
			return;
		}

		const share = sample > this.estimate ? this.q : this.q - 1;
		this.estimate *= 1 + (stepShare * share);
	}
}
