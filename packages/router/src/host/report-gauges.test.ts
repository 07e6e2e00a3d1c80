import {createShard, TargetAdmission} from '@bluebellyard/core';
import test from 'ava';
import {Gauge, MemoryCounters} from '../metrics/index.js';
import {makeMember, makeTables, makeTargetRow} from '../mocks/members.js';
import {makeOrder} from '../mocks/orders.js';
import {reportGauges} from './report-gauges.js';

test('all gauges are set', t => {
	const counters = new MemoryCounters();
	const member = makeMember(makeTables([], [makeTargetRow('t', 'self'), makeTargetRow('u', 'other')], ['t', '', '']));
	member.tables.pools.get('p')!.shards.push(createShard(-1));
	const admission = new TargetAdmission({slots: 1, queue: 1, callerShare: 1});
	admission.offer(makeOrder(), 0);
	admission.offer(makeOrder(), 0);
	const source = {
		member, isReady: true, folded: 9, logAgeMs: 1.6, executors: {entries: () => [['t', {admission}] as const]},
	};
	reportGauges(counters, source, 0);
	t.deepEqual(counters.values(), {
		[Gauge.Ready]: 1,
		[Gauge.FoldedOffset]: 9,
		[Gauge.ConfigOffset]: 0,
		[Gauge.LogAge]: 2,
		[Gauge.Stewardships]: 1,
		[Gauge.UnownedShards]: 2,
		[Gauge.InFlight]: 1,
		[Gauge.Queued]: 1,
		[Gauge.RightLeft]: 0,
	});
	t.deepEqual(Object.keys(counters.values()).toSorted(), Object.values<string>(Gauge).toSorted());
});
