import {build, type Histogram} from 'hdr-histogram-js';

/** Histogram units per millisecond. */
const unitsPerMs = 1000;

/** Largest latency that the histogram records, in histogram units; longer latencies count as this one. */
const maxUnits = 60_000 * unitsPerMs;

/** Figures of one policy in one experiment, by name. */
export type Figures = Readonly<Record<string, number>>;

/** Latencies and outcomes of one class of requests. */
export class Statistics {
	/** Requests offered. */
	offered = 0;
	/** Requests answered by their deadline. */
	ok = 0;
	/** Requests answered after their deadline or abandoned at it. */
	late = 0;
	/** Number of refused requests by reason. */
	readonly refusedByReason = new Map<string, number>();
	/** Longest latency of a refusal, in milliseconds. */
	slowestRefusalMs = 0;
	/** Number of refusals that took longer than the `slowMs` given to `recordRefusal`. */
	slowRefusals = 0;
	private readonly latencies: Histogram = build({highestTrackableValue: maxUnits, numberOfSignificantValueDigits: 3});

	/** Number of refusals for all reasons. */
	get refusalCount(): number {
		return [...this.refusedByReason.values()].reduce((sum, count) => sum + count, 0);
	}

	/** Counts an answer that took `latencyMs` milliseconds. */
	recordAnswer(latencyMs: number, isInTime: boolean): void {
		this.latencies.recordValue(Math.min(maxUnits, Math.max(1, Math.round(latencyMs * unitsPerMs))));
		this.ok += Number(isInTime);
		this.late += Number(!isInTime);
	}

	/** Counts a refusal that took `latencyMs` milliseconds; it is slow if it took longer than `slowMs`. */
	recordRefusal(reason: string, latencyMs: number, slowMs = 10): void {
		this.refusedByReason.set(reason, (this.refusedByReason.get(reason) ?? 0) + 1);
		this.slowestRefusalMs = Math.max(this.slowestRefusalMs, latencyMs);
		this.slowRefusals += Number(latencyMs > slowMs);
	}

	/** Returns a percentile of the latencies of answers, in milliseconds. */
	percentile(percent: number): number {
		return this.latencies.getValueAtPercentile(percent) / unitsPerMs;
	}

	/** Returns counts and common percentiles. */
	summarize(): Figures {
		return {
			offered: this.offered,
			ok: this.ok,
			late: this.late,
			refused: this.refusalCount,
			p50Ms: this.percentile(50),
			p99Ms: this.percentile(99),
			p999Ms: this.percentile(99.9),
		};
	}
}
