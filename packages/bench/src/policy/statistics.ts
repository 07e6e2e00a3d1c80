import {build, type Histogram} from 'hdr-histogram-js';

/** Units of the histogram per millisecond. */
const unitsPerMs = 1000;

/** Longest latency told apart, in histogram units. */
const maxUnits = 60_000 * unitsPerMs;

/** Figures of one policy in one experiment, by name. */
export type Figures = Readonly<Record<string, number>>;

/** Latencies and outcomes of one class of requests. */
export class Statistics {
	/** Requests offered. */
	offered = 0;
	/** Requests answered before their deadline. */
	ok = 0;
	/** Requests answered or given up after their deadline. */
	late = 0;
	/** Requests refused, by reason. */
	readonly refusedByReason = new Map<string, number>();
	/** Longest time that a refusal took, in milliseconds. */
	slowestRefusalMs = 0;
	/** Refusals that took longer than the aim. */
	slowRefusals = 0;
	private readonly latencies: Histogram = build({highestTrackableValue: maxUnits, numberOfSignificantValueDigits: 3});

	/** Refusals of all reasons. */
	get refusalCount(): number {
		return [...this.refusedByReason.values()].reduce((sum, count) => sum + count, 0);
	}

	/** Counts an answer after `latency` milliseconds. */
	recordAnswer(latency: number, inTime: boolean): void {
		this.latencies.recordValue(Math.min(maxUnits, Math.max(1, Math.round(latency * unitsPerMs))));
		this.ok += Number(inTime);
		this.late += Number(!inTime);
	}

	/** Counts a refusal after `latency` milliseconds. */
	recordRefusal(reason: string, latency: number, aimMs = 10): void {
		this.refusedByReason.set(reason, (this.refusedByReason.get(reason) ?? 0) + 1);
		this.slowestRefusalMs = Math.max(this.slowestRefusalMs, latency);
		this.slowRefusals += Number(latency > aimMs);
	}

	/** A percentile of the latencies of answers, in milliseconds. */
	percentile(percent: number): number {
		return this.latencies.getValueAtPercentile(percent) / unitsPerMs;
	}

	/** The usual figures. */
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
