import test from 'ava';
import {
	createRecord, RecordKind, TargetState, type RecordBody,
} from '../records/index.js';
import {foldRecord} from './fold.js';
import {emptyTables} from './tables.js';

// The record that declares a target lost may be appended twice. If the target is live
// again and owns shards when the duplicate is folded, it must keep them.
test('a late duplicate of a lost record has no effect', t => {
	const tables = emptyTables();
	let offset = 0;
	const put = (body: RecordBody) => {
		offset += 1;
		return foldRecord(tables, offset, createRecord(body, `record-${offset}`, 'a')).accepted;
	};

	const targets = [{
		name: 't', pool: 'p', domain: 'a', addr: 't',
	}];
	put({
		kind: RecordKind.Join, instance: 'a', name: 'a', domain: 'a', peerAddr: 'a', internalAddr: 'a', controlAddr: 'a',
	});
	put({kind: RecordKind.Config, base: 0, text: 'pool p keyed shards=1 # test\n'});
	put({kind: RecordKind.Admit, targets});
	put({kind: RecordKind.Tenure, changes: [{target: 't', steward: 'a', prev: 0}]});
	const lost: RecordBody = {kind: RecordKind.Moves, lost: {target: 't', tenure: 4}, moves: []};
	t.true(put(lost));
	const {tenure} = tables.targets.get('t')!;
	t.true(put({
		kind: RecordKind.TargetState, target: 't', tenure, state: TargetState.Live,
	}));
	t.true(put({
		kind: RecordKind.Moves, moves: [{
			pool: 'p', shard: 0, to: 't', prev: 0, tenure: 0,
		}],
	}));
	t.false(put(lost));
	t.is(tables.pools.get('p')?.shards[0].owner, 't');
});
