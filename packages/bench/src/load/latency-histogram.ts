import {build, type Histogram} from 'hdr-histogram-js';

const usPerMs = 1000;

/** Number of latencies, and percentiles in milliseconds. */
export type LatencySummary = {
	readonly count: number;
	readonly p50: number;
	readonly p99: number;
	readonly p999: number;
	readonly max: number;
};

/** HDR histogram of latencies with a resolution of one microsecond. */
export class LatencyHistogram {
	private readonly histogram: Histogram = build({numberOfSignificantValueDigits: 3});

	/** Records a latency in milliseconds. */
	record(ms: number): void {
		this.histogram.recordValue(Math.max(Math.round(ms * usPerMs), 0));
	}

	/** Returns the latency at a percentile, in milliseconds. */
	percentile(percent: number): number {
		return this.histogram.getValueAtPercentile(percent) / usPerMs;
	}

	/** Percentiles of all recorded latencies. */
	get summary(): LatencySummary {
		return {
			count: this.histogram.totalCount,
			p50: this.percentile(50),
			p99: this.percentile(99),
			p999: this.percentile(99.9),
			max: this.histogram.totalCount === 0 ? 0 : this.histogram.maxValue / usPerMs,
		};
	}
}
