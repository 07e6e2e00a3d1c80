import {ResultClass, type CallerView} from './attempt.js';
import {LatencyHistogram, type LatencySummary} from './latency-histogram.js';

/** What callers saw of one class of results. */
export type ClassSummary = {
	readonly latency: LatencySummary;
	/** Number of results for each reason. */
	readonly reasons: Readonly<Record<string, number>>;
};

/** What callers saw. */
export type LoadSummary = {
	readonly requests: number;
	readonly attempts: number;
	readonly classes: Readonly<Record<ResultClass, ClassSummary>>;
};

/** Sums up what callers saw; latencies count from the scheduled time. */
export function summarize(views: readonly CallerView[]): LoadSummary {
	const attempts = views.flatMap(view => view.attempts);
	const classes = Object.fromEntries(Object.values(ResultClass).map(result => {
		const latencies = new LatencyHistogram();
		const reasons: Record<string, number> = {};
		for (const attempt of attempts.filter(each => each.result === result)) {
			latencies.record(attempt.endedAt - attempt.scheduledAt);
			reasons[attempt.reason] = (reasons[attempt.reason] ?? 0) + 1;
		}

		return [result, {latency: latencies.summary, reasons}];
	}));
	// eslint-disable-next-line @typescript-eslint/no-unsafe-type-assertion -- has all values of the enum
	const all = classes as Record<ResultClass, ClassSummary>;
	return {requests: views.length, attempts: attempts.length, classes: all};
}
