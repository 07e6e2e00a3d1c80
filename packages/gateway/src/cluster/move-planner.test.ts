import test from 'ava';
import {allKeys, OwnershipMap, type KeyRates} from '@bluebellyard/core';
import {MovePlanner} from './move-planner.js';

const owners = [{id: 'a', capacity: 2}, {id: 'b', capacity: 8}];

/** A load that the capacities above make uneven. */
const load: KeyRates = Array.from({length: 60}, (_, i) => [i * 1000, 0.05] as const);

const map = OwnershipMap.empty().assign([{from: 0, to: 49_999, owner: 'a'}, {from: 50_000, to: allKeys.to, owner: 'b'}], 1);

function plan(planner: MovePlanner, now: number, {isMovable = true, ids = ['a', 'b']} = {}): number {
	return planner.plan(map, {owners: owners.filter(({id}) => ids.includes(id)), rates: () => load}, {now, isMovable: () => isMovable}).moves.length;
}

test('a new leader moves no keys of usable owners before all instances have reported', t => {
	const planner = new MovePlanner();
	for (let now = 0; now < 1000; now += 100) {
		t.is(plan(planner, now), 0);
	}

	t.true(plan(planner, 1000) > 0);
});

test('a new leader moves keys without a usable owner at once', t => {
	t.true(plan(new MovePlanner(), 0, {ids: ['b'], isMovable: false}) > 0);
});

test('keys that a move would close for the time of a lease stay with their owner', t => {
	const planner = new MovePlanner();
	plan(planner, 0);
	t.is(plan(planner, 1000, {isMovable: false}), 0);
	t.true(plan(planner, 1500) > 0);
});
