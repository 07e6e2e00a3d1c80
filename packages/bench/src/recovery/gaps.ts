import {ResultClass, type Attempt} from '../load/index.js';

/** A span in machine-wide milliseconds. */
export type Span = {
	readonly from: number;
	readonly to: number;
};

/**
 * Longest time without an answer to probes of one key, beyond the period at which they are sent.
 * Counts from one good answer to the next, so refusals and waiting weigh the same.
 * Probes due within the span count; a key without a good answer after the span's start is
 * unavailable up to the last known result.
 */
export function findLongestGap(probes: readonly Attempt[], span: Span, periodMs: number): number {
	const due = probes.filter(probe => probe.scheduledAt >= span.from && probe.scheduledAt < span.to);
	const good = due
		.filter(probe => probe.result === ResultClass.Ok)
		.map(probe => probe.endedAt)
		.toSorted((a, b) => a - b);
	const last = Math.max(span.from, ...due.map(probe => probe.endedAt));
	const moments = [span.from, ...good, last];
	const gaps = moments.slice(1).map((moment, i) => moment - moments[i] - periodMs);
	return Math.max(0, ...gaps);
}
