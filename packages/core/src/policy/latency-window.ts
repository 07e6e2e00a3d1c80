/** Default number of samples that a window keeps. */
const defaultSize = 32;

/**
 * Sliding window of the latest latencies of one target.
 */
export class LatencyWindow {
	private readonly size: number;
	private readonly samples: number[] = [];
	private next = 0;
	private sorted: number[] | undefined;

	/** Creates a window of the last `size` samples. */
	constructor(size = defaultSize) {
		this.size = size;
	}

	/** Number of samples in the window. */
	get count(): number {
		return this.samples.length;
	}

	/** Whether the window has its full number of samples. */
	get isFull(): boolean {
		return this.samples.length >= this.size;
	}

	/** Adds one latency in milliseconds. */
	add(latency: number): void {
		this.samples[this.next] = latency;
		this.next = (this.next + 1) % this.size;
		this.sorted = undefined;
	}

	/** Removes all samples. */
	clear(): void {
		this.samples.length = 0;
		this.next = 0;
		this.sorted = undefined;
	}

	/** Returns the `q` quantile (0 to 1) in milliseconds; undefined without samples. */
	quantile(q: number): number | undefined {
		this.sorted ??= this.samples.toSorted((a, b) => a - b);
		return computeQuantile(this.sorted, q);
	}

	/** Returns the samples in no particular order. */
	values(): readonly number[] {
		return this.samples;
	}
}

/** Returns the `q` quantile of ascending values by nearest rank; undefined when there are none. */
export function computeQuantile(ascending: readonly number[], q: number): number | undefined {
	const rank = Math.ceil(q * ascending.length) - 1;
	return ascending[Math.max(0, rank)];
}
