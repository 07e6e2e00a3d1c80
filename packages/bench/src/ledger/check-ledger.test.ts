import {
	OrderEnd, type LedgerDump, type LedgerEntry, type LedgerTotals,
} from '@bluebellyard/standins';
import test from 'ava';
import {ResultClass, type CallerView} from '../load/index.js';
import {checkLedger} from './check-ledger.js';
import {ViolationKind} from './violation.js';

const totals: LedgerTotals = {
	received: 0, ran: 0, aborted: 0, notRun: 0, slotViolations: 0, coldViolations: 0, falls: 0, maxRunning: 0,
};

function entry(change: Partial<LedgerEntry> = {}): LedgerEntry {
	return {
		seq: 0, order: 'o', request: 'r', method: 'GET', path: '/', pool: 'p', shard: 1, fence: 5,
		incarnation: 'i', started: 0, ended: 10, end: OrderEnd.Ran, reason: '', ...change,
	};
}

function dump(target: string, entries: LedgerEntry[], change: Partial<LedgerTotals> = {}): LedgerDump {
	return {target, totals: {...totals, ...change}, entries};
}

function view(results: readonly ResultClass[], isOnce = true): CallerView {
	const attempts = results.map(result => ({
		result, reason: '', target: '', scheduledAt: 0, endedAt: 1,
	}));
	return {
		id: 'r', line: 'GET /', key: 'k', isOnce, attempts,
	};
}

const {Ok: ok, NotRun: refused, Unknown: unknown, Wrong: wrong, Truncated: truncated} = ResultClass;
const notRun = {end: OrderEnd.NotRun};
const aborted = {end: OrderEnd.Aborted};

const viewCases: Array<{name: string; entries: LedgerEntry[]; view: CallerView; found: ViolationKind[]}> = [
	{
		name: 'ran and answered', entries: [entry()], view: view([ok]), found: [],
	},
	{
		name: 'refused and not run', entries: [entry(notRun)], view: view([refused]), found: [],
	},
	{
		name: 'refused before any target', entries: [], view: view([refused]), found: [],
	},
	{
		name: 'unknown and ran', entries: [entry()], view: view([unknown]), found: [],
	},
	{
		name: 'unknown and not run', entries: [], view: view([unknown]), found: [],
	},
	{
		name: 'unknown, then refused', entries: [entry()], view: view([unknown, refused]), found: [],
	},
	{
		name: 'refused, then ran', entries: [entry()], view: view([refused, ok]), found: [],
	},
	{
		name: 'not run twice, then ran', entries: [entry(notRun), entry()], view: view([ok]), found: [],
	},
	{
		name: 'idempotent work ran twice', entries: [entry(), entry()], view: view([ok], false), found: [],
	},
	{
		name: 'ran twice', entries: [entry(), entry()], view: view([ok]), found: [ViolationKind.RanTwice],
	},
	{
		name: 'aborted, then ran', entries: [entry(aborted), entry()], view: view([unknown, ok]), found: [ViolationKind.RanTwice],
	},
	{
		name: 'refused and ran', entries: [entry()], view: view([refused]), found: [ViolationKind.NotRunThatRan],
	},
	{
		name: 'refused and aborted', entries: [entry(aborted)], view: view([refused]), found: [ViolationKind.NotRunThatRan],
	},
	{
		name: 'refused idempotent work ran', entries: [entry()], view: view([refused], false), found: [ViolationKind.NotRunThatRan],
	},
	{
		name: 'answered without a run', entries: [entry(notRun)], view: view([ok]), found: [ViolationKind.OkWithoutRun],
	},
	{
		name: 'wrong answer', entries: [entry()], view: view([wrong]), found: [ViolationKind.WrongAnswer],
	},
	{
		name: 'truncated answer', entries: [entry()], view: view([truncated]), found: [ViolationKind.TruncatedAnswer],
	},
];

for (const {name, entries, view: callerView, found} of viewCases) {
	test(`caller view: ${name}`, t => {
		const {violations} = checkLedger([dump('a', entries)], [callerView]);
		t.deepEqual(violations.map(violation => violation.kind), found);
	});
}

const ownerCases: Array<{name: string; a: Partial<LedgerEntry>; b: Partial<LedgerEntry>; isFound: boolean}> = [
	{
		name: 'one after the other', a: {}, b: {started: 10, ended: 20, fence: 6}, isFound: false,
	},
	{
		name: 'overlap', a: {}, b: {started: 9, ended: 20, fence: 6}, isFound: true,
	},
	{
		name: 'one inside the other', a: {ended: 30}, b: {started: 9, ended: 20, fence: 6}, isFound: true,
	},
	{
		name: 'overlap with aborted work', a: aborted, b: {started: 9, ended: 20, fence: 6}, isFound: true,
	},
	{
		name: 'overlap with refused work', a: notRun, b: {started: 9, ended: 20, fence: 6}, isFound: false,
	},
	{
		name: 'older fence after a newer one', a: {fence: 6}, b: {started: 10, ended: 20}, isFound: true,
	},
	{
		name: 'different shards', a: {}, b: {started: 5, shard: 2}, isFound: false,
	},
	{
		name: 'different pools', a: {}, b: {started: 5, pool: 'q'}, isFound: false,
	},
	{
		name: 'no shard', a: {shard: -1}, b: {started: 5, shard: -1}, isFound: false,
	},
];

for (const {name, a, b, isFound} of ownerCases) {
	test(`owners: ${name}`, t => {
		const {counts} = checkLedger([dump('a', [entry(a)]), dump('b', [entry(b)])], []);
		t.is(counts[ViolationKind.TwoOwners] ?? 0, isFound ? 1 : 0);
	});
}

test('a target may run several orders of a shard at once', t => {
	const {violations} = checkLedger([dump('a', [entry(), entry({started: 5})])], []);
	t.deepEqual(violations, []);
});

test('orders beyond the limits of a target are counted', t => {
	const {counts} = checkLedger([dump('a', [], {slotViolations: 2, coldViolations: 1})], []);
	t.deepEqual(counts, {[ViolationKind.SlotLimit]: 2, [ViolationKind.ColdLimit]: 1});
});
