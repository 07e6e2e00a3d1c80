import {
	type LedgerDump, type LedgerEntry, type LedgerTotals,
} from '@bluebellyard/standins';
import {ResultClass, type CallerView} from '../load/index.js';
import {groupBy} from './group-by.js';
import {findTwoOwners} from './two-owners.js';
import {hasStarted, ViolationKind, type Violation} from './violation.js';

/** Result of a check. */
export type LedgerReport = {
	/** Number of violations by kind. */
	readonly counts: Readonly<Partial<Record<ViolationKind, number>>>;
	readonly violations: readonly Violation[];
	/** Number of orders that the targets started. */
	readonly startedOrders: number;
};

/** Compares the results that callers received with the ledgers of the targets. */
export function checkLedger(dumps: readonly LedgerDump[], views: readonly CallerView[]): LedgerReport {
	const started = dumps.flatMap(dump => dump.entries.filter(entry => hasStarted(entry)));
	const byRequest = groupBy(started, entry => entry.request);
	const violations = [
		...views.flatMap(view => checkView(view, byRequest.get(view.id) ?? [])),
		...findTwoOwners(dumps),
		...dumps.flatMap(dump => checkTotals(dump.target, dump.totals)),
	];
	const counts: Partial<Record<ViolationKind, number>> = {};
	for (const {kind} of violations) {
		counts[kind] = (counts[kind] ?? 0) + 1;
	}

	return {counts, violations, startedOrders: started.length};
}

function checkView(view: CallerView, started: readonly LedgerEntry[]): Violation[] {
	const results = new Set(view.attempts.map(attempt => attempt.result));
	const hasOnlyNotRun = results.size === 1 && results.has(ResultClass.NotRun);
	const findings: Array<[ViolationKind, boolean]> = [
		[ViolationKind.RanTwice, view.isOnce && started.length > 1],
		[ViolationKind.NotRunThatRan, hasOnlyNotRun && started.length > 0],
		[ViolationKind.OkWithoutRun, results.has(ResultClass.Ok) && started.length === 0],
		[ViolationKind.WrongAnswer, results.has(ResultClass.Wrong)],
		[ViolationKind.TruncatedAnswer, results.has(ResultClass.Truncated)],
	];
	const detail = `${view.line} ${view.id}: ${describe(view, started)}`;
	return findings.filter(([, isFound]) => isFound).map(([kind]) => ({kind, detail}));
}

function describe(view: CallerView, started: readonly LedgerEntry[]): string {
	const results = view.attempts.map(attempt => `${attempt.result} ${attempt.reason}`.trim());
	const orders = started.map(entry => `${entry.end} ${entry.reason} as ${entry.order}`);
	return `caller got [${results.join(', ')}], targets ran [${orders.join(', ')}]`;
}

function checkTotals(target: string, totals: LedgerTotals): Violation[] {
	const slots = {kind: ViolationKind.SlotLimit, detail: `${target}: order received while all slots were in use`};
	const cold = {kind: ViolationKind.ColdLimit, detail: `${target}: order received beyond the capacity of the cold target`};
	return [
		...Array.from({length: totals.slotViolations}, () => slots),
		...Array.from({length: totals.coldViolations}, () => cold),
	];
}
