import {
	type LedgerDump, type LedgerEntry, type LedgerTotals,
} from '@bluebellyard/standins';
import {ResultClass, type CallerView} from '../load/index.js';
import {groupBy} from './group-by.js';
import {findTwoOwners} from './two-owners.js';
import {hasStarted, ViolationKind, type Violation} from './violation.js';

/** Result of a check. */
export type LedgerReport = {
	/** Number of findings of each kind. */
	readonly counts: Readonly<Partial<Record<ViolationKind, number>>>;
	readonly violations: readonly Violation[];
	/** Orders that the targets began. */
	readonly startedOrders: number;
};

/** Checks what callers saw against what targets did. */
export function checkLedger(dumps: readonly LedgerDump[], views: readonly CallerView[]): LedgerReport {
	const begun = dumps.flatMap(dump => dump.entries.filter(entry => hasStarted(entry)));
	const byRequest = groupBy(begun, entry => entry.request);
	const violations = [
		...views.flatMap(view => checkView(view, byRequest.get(view.id) ?? [])),
		...findTwoOwners(dumps),
		...dumps.flatMap(dump => checkTotals(dump.target, dump.totals)),
	];
	const counts: Partial<Record<ViolationKind, number>> = {};
	for (const {kind} of violations) {
		counts[kind] = (counts[kind] ?? 0) + 1;
	}

	return {counts, violations, startedOrders: begun.length};
}

function checkView(view: CallerView, begun: readonly LedgerEntry[]): Violation[] {
	const results = new Set(view.attempts.map(attempt => attempt.result));
	const isNotRun = results.size === 1 && results.has(ResultClass.NotRun);
	const findings: Array<[ViolationKind, boolean]> = [
		[ViolationKind.RanTwice, view.isOnce && begun.length > 1],
		[ViolationKind.NotRunThatRan, isNotRun && begun.length > 0],
		[ViolationKind.OkWithoutRun, results.has(ResultClass.Ok) && begun.length === 0],
		[ViolationKind.WrongAnswer, results.has(ResultClass.Wrong)],
		[ViolationKind.TruncatedAnswer, results.has(ResultClass.Truncated)],
	];
	const detail = `${view.line} ${view.id}: ${describe(view, begun)}`;
	return findings.filter(([, isFound]) => isFound).map(([kind]) => ({kind, detail}));
}

function describe(view: CallerView, begun: readonly LedgerEntry[]): string {
	const told = view.attempts.map(attempt => `${attempt.result} ${attempt.reason}`.trim());
	const did = begun.map(entry => `${entry.end} ${entry.reason} as ${entry.order}`);
	return `told [${told.join(', ')}], targets [${did.join(', ')}]`;
}

function checkTotals(target: string, totals: LedgerTotals): Violation[] {
	const slots = {kind: ViolationKind.SlotLimit, detail: `${target}: an order above its slots`};
	const cold = {kind: ViolationKind.ColdLimit, detail: `${target}: an order above what it bore cold`};
	return [
		...Array.from({length: totals.slotViolations}, () => slots),
		...Array.from({length: totals.coldViolations}, () => cold),
	];
}
