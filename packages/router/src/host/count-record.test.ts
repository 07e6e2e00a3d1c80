import {
	accepted, createRecord, RecordKind, type FoldResult, type RecordBody, type Verdict,
} from '@bluebellyard/core';
import test from 'ava';
import {Counter, MemoryCounters} from '../metrics/index.js';
import {countRecord} from './count-record.js';

function result(body: RecordBody, by: string, verdict: Verdict = accepted): FoldResult {
	return {...verdict, record: createRecord(body, 'id', by)};
}

const move = {
	pool: 'p', shard: 1, to: 't', prev: 1, tenure: 1,
};
const moves: RecordBody = {kind: RecordKind.Moves, lost: {target: 'u', tenure: 2}, moves: [move, {...move, shard: 2}]};
const evict: RecordBody = {kind: RecordKind.Evict, members: ['b', 'c']};
const config: RecordBody = {kind: RecordKind.Config, base: 0, text: ''};

const cases: ReadonlyArray<readonly [name: string, result: FoldResult, counted: Partial<Record<Counter, number>>]> = [
	['own moves of a lost target', result(moves, 'self'), {[Counter.Moves]: 2, [Counter.LostTargets]: 1}],
	['own evictions', result(evict, 'self'), {[Counter.Evictions]: 2}],
	['records of another instance', result(moves, 'other'), {}],
	['a configuration of any author', result(config, 'operator'), {[Counter.Configurations]: 1}],
	['a void record', result(moves, 'self', {accepted: false}), {[Counter.VoidRecords]: 1}],
	['a malformed record', {accepted: false}, {[Counter.BadRecords]: 1}],
];

test('folded records are counted by outcome and author', t => {
	for (const [name, folded, counted] of cases) {
		const counters = new MemoryCounters();
		countRecord(counters, folded, 'self');
		const used = Object.fromEntries(Object.entries(counters.values()).filter(([, value]) => value > 0));
		t.deepEqual({name, used}, {name, used: counted});
	}
});
