import {ResultClass, type Attempt} from '../load/index.js';

/** A time span by the machine-wide clock, in milliseconds. */
export type Span = {
	readonly from: number;
	readonly to: number;
};

/**
 * Returns the longest time without a successful answer to the probes of one key, minus the probe period.
 * It is measured from one successful answer to the next, so refused and slow probes count alike.
 * Only probes scheduled within the span count. A key without a successful answer in the span
 * is unavailable up to the last known result.
 */
export function findLongestGap(probes: readonly Attempt[], span: Span, periodMs: number): number {
	const due = probes.filter(probe => probe.scheduledAt >= span.from && probe.scheduledAt < span.to);
	const answeredAt = due
		.filter(probe => probe.result === ResultClass.Ok)
		.map(probe => probe.endedAt)
		.toSorted((a, b) => a - b);
	const last = Math.max(span.from, ...due.map(probe => probe.endedAt));
	const times = [span.from, ...answeredAt, last];
	const gaps = times.slice(1).map((time, i) => time - times[i] - periodMs);
	return Math.max(0, ...gaps);
}
