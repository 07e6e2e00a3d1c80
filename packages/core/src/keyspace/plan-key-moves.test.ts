import test from 'ava';
import {seededRandom} from '../random/index.js';
import {OwnershipMap} from './ownership-map.js';
import {keyCount, rangeSize} from './key-range.js';
import {planKeyMoves, type KeyRates, type EligibleOwner} from './plan-key-moves.js';

const owners: EligibleOwner[] = ['a', 'b', 'c', 'd'].map(id => ({id, capacity: 4}));

function initialMap(rates: KeyRates = [], targets: readonly EligibleOwner[] = owners): OwnershipMap {
	return OwnershipMap.empty().assign(planKeyMoves(OwnershipMap.empty(), targets, rates), 1);
}

function loads(map: OwnershipMap, rates: KeyRates): Map<string, number> {
	const sums = new Map<string, number>();
	for (const [key, busy] of rates) {
		const {owner} = map.findByKey(key);
		sums.set(owner, (sums.get(owner) ?? 0) + busy);
	}

	return sums;
}

/** Plans until no key moves any more, as the leader does. */
function settle(start: OwnershipMap, rates: KeyRates, targets: readonly EligibleOwner[] = owners): {map: OwnershipMap; moved: number} {
	let map = start;
	let moved = 0;
	for (let fence = 2; fence < 30; fence += 1) {
		const moves = planKeyMoves(map, targets, rates);
		if (moves.length === 0) {
			break;
		}

		moved += moves.reduce((sum, move) => sum + rangeSize(move), 0);
		map = map.assign(moves, fence);
	}

	return {map, moved};
}

test('the first keys are distributed evenly', t => {
	const map = initialMap();
	for (const {id} of owners) {
		const keys = map.findByOwner(id).map(range => rangeSize(range));
		t.true(Math.abs(keys.reduce((sum, size) => sum + size, 0) - (keyCount / 4)) < 10);
	}
});

test('faster targets get more keys', t => {
	const map = initialMap([], [{id: 'a', capacity: 6}, {id: 'b', capacity: 2}]);
	t.true(rangeSize(map.findByOwner('a')[0]) > 2.5 * rangeSize(map.findByOwner('b')[0]));
});

test('targets that join late during a start get their fair share at once', t => {
	const late = Array.from({length: 30}, (_, i) => ({id: `late-${i}`, capacity: 4}));
	const all = [...owners, ...late];
	const map = initialMap().assign(planKeyMoves(initialMap(), all, []), 2);
	for (const {id} of all) {
		const keys = map.findByOwner(id).reduce((sum, range) => sum + rangeSize(range), 0);
		t.true(keys > keyCount / all.length / 2 && keys < keyCount / all.length * 2, `${id} ${keys}`);
	}
});

test('load: targets that join under load receive load at once', t => {
	const rates: KeyRates = Array.from({length: 400}, (_, i) => [20_000 + i, 0.03] as const);
	const all = [...owners, ...Array.from({length: 4}, (_, i) => ({id: `late-${i}`, capacity: 4}))];
	const map = initialMap(rates).assign(planKeyMoves(initialMap(rates), all, rates), 2);
	for (const [owner, busy] of loads(map, rates)) {
		t.true(busy <= 12 / all.length * 1.8, `${owner} ${busy}`);
	}
});

test('load: a run of adjacent hot keys is split up, and few keys move', t => {
	const hot: KeyRates = Array.from({length: 200}, (_, i) => [1000 + i, 0.04] as const);
	const {map, moved} = settle(initialMap(), hot);
	for (const [owner, busy] of loads(map, hot)) {
		t.true(busy <= 4 * 0.75, `${owner} ${busy}`);
	}

	t.true(moved < 400, `${moved}`);
});

test('load: a key too hot for any target stays, and other keys move away', t => {
	const rates: KeyRates = [[5, 4.5], [6, 0.8], [7, 0.8]];
	const {map} = settle(initialMap(), rates);
	t.is(loads(map, rates).get(map.findByKey(5).owner), 4.5);
});

test('load: measurement noise moves few keys', t => {
	const many = Array.from({length: 20}, (_, i) => ({id: `t${i}`, capacity: 4}));
	const random = seededRandom(7);

	let map = initialMap([], many);
	let moves = 0;
	const plans = 60;
	for (let fence = 2; fence < plans + 2; fence += 1) {
		// All keys are equally likely; each plan sees 24 requests per target.
		const keys = Array.from({length: 480}, () => Math.floor(random() * keyCount)).toSorted((a, b) => a - b);
		const plan = planKeyMoves(map, many, keys.map(key => [key, 0.1] as const));
		moves += plan.length;
		map = map.assign(plan, fence);
	}

	t.true(moves < plans, `${moves}`);
});

test('an even load moves no keys', t => {
	const rates: KeyRates = Array.from({length: 64}, (_, i) => [i * 1024, 0.1] as const);
	t.deepEqual(planKeyMoves(initialMap(rates), owners, rates), []);
});

test('keys of a target that left move to the others', t => {
	const {map} = settle(initialMap(), [], owners.slice(1));
	t.deepEqual(map.findByOwner('a'), []);
	t.true(map.ranges.every(range => range.owner !== ''));
});

test('a target that joins gets keys', t => {
	const map = initialMap();
	const joined = [...owners, {id: 'e', capacity: 4}];
	t.true(settle(map, [], joined).map.findByOwner('e').length > 0);
	const rates: KeyRates = [[10, 0.2], [20, 0.2]];
	t.true(settle(map, rates, joined).map.findByOwner('e').length > 0);
});

test('no moves are planned without targets', t => {
	t.deepEqual(planKeyMoves(OwnershipMap.empty(), [], []), []);
});

test('a target from which nothing can move does not keep keys on others that are overloaded', t => {
	const map = initialMap();
	const keyOf = (owner: string) => map.findByOwner(owner)[0].from;
	// One key that is too hot for any target, and a run of busy keys of another owner.
	const hotKey: KeyRates[number] = [keyOf('a'), 9];
	const run: KeyRates = Array.from({length: 40}, (_, i) => [keyOf('b') + i, 0.15] as const);
	const moves = planKeyMoves(map, owners, [hotKey, ...run].toSorted((a, b) => a[0] - b[0]));
	t.true(moves.length > 0);
	t.true(moves.every(({from}) => map.findByKey(from).owner === 'b'));
});

test('little load moves off a target that can serve less than that', t => {
	const map = initialMap();
	const limited = owners.map(owner => owner.id === 'a' ? {id: 'a', capacity: 0.05} : owner);
	const {from} = map.findByOwner('a')[0];
	const rates: KeyRates = Array.from({length: 50}, (_, i) => [from + (i * 300), 0.0024] as const);
	const {map: settled} = settle(map, rates, limited);
	t.true(loads(settled, rates).get('a')! <= 0.05, `${loads(settled, rates).get('a')}`);
});

// Until the usual measurement shows a surge, the queue of its target is full.
test('keys leave a target whose load has just risen', t => {
	const map = OwnershipMap.empty().assign([{from: 0, to: 32_767, owner: 'a'}, {from: 32_768, to: 65_535, owner: 'b'}], 1);
	const owners = [{id: 'a', capacity: 4}, {id: 'b', capacity: 4}];
	const recent = {rates: Array.from({length: 100}, (_, i) => [i, 0.08] as const), loadPerRequest: 0.3};
	const moves = planKeyMoves(map, owners, [], recent);
	t.true(moves.length > 0);
	t.true(moves.every(({to, owner}) => owner === 'b' && to < 100));
	t.deepEqual(planKeyMoves(map, owners, []), []);
});

test('a few requests more than usual are no surge', t => {
	const map = OwnershipMap.empty().assign([{from: 0, to: 32_767, owner: 'a'}, {from: 32_768, to: 65_535, owner: 'b'}], 1);
	const recent = {rates: [[1, 1.2], [2, 1.8]] as const, loadPerRequest: 0.3};
	t.deepEqual(planKeyMoves(map, [{id: 'a', capacity: 4}, {id: 'b', capacity: 4}], [], recent), []);
});
