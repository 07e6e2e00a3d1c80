import test from 'ava';
import {seededRandom} from '../random/index.js';
import {OwnershipMap} from './ownership-map.js';
import {keyCount, rangeSize} from './key-range.js';
import {planKeyMoves, type KeyRates, type EligibleOwner} from './plan-key-moves.js';

const owners: EligibleOwner[] = ['a', 'b', 'c', 'd'].map(id => ({id, capacity: 4}));

function placed(rates: KeyRates = [], who: readonly EligibleOwner[] = owners): OwnershipMap {
	return OwnershipMap.empty().assign(planKeyMoves(OwnershipMap.empty(), who, rates), 1);
}

function loads(map: OwnershipMap, rates: KeyRates): Map<string, number> {
	const sums = new Map<string, number>();
	for (const [key, busy] of rates) {
		const {owner} = map.findByKey(key);
		sums.set(owner, (sums.get(owner) ?? 0) + busy);
	}

	return sums;
}

/** Plans until nothing moves any more, as the leader does. */
function settle(start: OwnershipMap, rates: KeyRates, who: readonly EligibleOwner[] = owners): {map: OwnershipMap; moved: number} {
	let map = start;
	let moved = 0;
	for (let fence = 2; fence < 30; fence += 1) {
		const moves = planKeyMoves(map, who, rates);
		if (moves.length === 0) {
			break;
		}

		moved += moves.reduce((sum, move) => sum + rangeSize(move), 0);
		map = map.assign(moves, fence);
	}

	return {map, moved};
}

test('first keys are shared out evenly', t => {
	const map = placed();
	for (const {id} of owners) {
		const keys = map.findByOwner(id).map(holding => rangeSize(holding));
		t.true(Math.abs(keys.reduce((sum, size) => sum + size, 0) - (keyCount / 4)) < 10);
	}
});

test('faster targets get more', t => {
	const map = placed([], [{id: 'a', capacity: 6}, {id: 'b', capacity: 2}]);
	t.true(rangeSize(map.findByOwner('a')[0]) > 2.5 * rangeSize(map.findByOwner('b')[0]));
});

test('the targets of a start that come late get their fair part at once', t => {
	const late = Array.from({length: 30}, (_, i) => ({id: `late-${i}`, capacity: 4}));
	const all = [...owners, ...late];
	const map = placed().assign(planKeyMoves(placed(), all, []), 2);
	for (const {id} of all) {
		const keys = map.findByOwner(id).reduce((sum, holding) => sum + rangeSize(holding), 0);
		t.true(keys > keyCount / all.length / 2 && keys < keyCount / all.length * 2, `${id} ${keys}`);
	}
});

test('load: targets that come under load take load over at once', t => {
	const rates: KeyRates = Array.from({length: 400}, (_, i) => [20_000 + i, 0.03] as const);
	const all = [...owners, ...Array.from({length: 4}, (_, i) => ({id: `late-${i}`, capacity: 4}))];
	const map = placed(rates).assign(planKeyMoves(placed(rates), all, rates), 2);
	for (const [owner, busy] of loads(map, rates)) {
		t.true(busy <= 12 / all.length * 1.8, `${owner} ${busy}`);
	}
});

test('load: a run of hot neighbours is split up, and few keys move', t => {
	const hot: KeyRates = Array.from({length: 200}, (_, i) => [1000 + i, 0.04] as const);
	const {map, moved} = settle(placed(), hot);
	for (const [owner, busy] of loads(map, hot)) {
		t.true(busy <= 4 * 0.75, `${owner} ${busy}`);
	}

	t.true(moved < 400, `${moved}`);
});

test('load: a key too hot for any target stays where it is, and others leave it', t => {
	const rates: KeyRates = [[5, 4.5], [6, 0.8], [7, 0.8]];
	const {map} = settle(placed(), rates);
	t.is(loads(map, rates).get(map.findByKey(5).owner), 4.5);
});

test('load: noise of the measurement moves few keys', t => {
	const many = Array.from({length: 20}, (_, i) => ({id: `t${i}`, capacity: 4}));
	const random = seededRandom(7);

	let map = placed([], many);
	let moves = 0;
	const plans = 60;
	for (let fence = 2; fence < plans + 2; fence += 1) {
		// All keys are asked for alike; 24 requests for each target are seen at a time.
		const keys = Array.from({length: 480}, () => Math.floor(random() * keyCount)).toSorted((a, b) => a - b);
		const plan = planKeyMoves(map, many, keys.map(key => [key, 0.1] as const));
		moves += plan.length;
		map = map.assign(plan, fence);
	}

	t.true(moves < plans, `${moves}`);
});

test('even load moves nothing', t => {
	const rates: KeyRates = Array.from({length: 64}, (_, i) => [i * 1024, 0.1] as const);
	t.deepEqual(planKeyMoves(placed(rates), owners, rates), []);
});

test('keys of a target that left go to the others', t => {
	const {map} = settle(placed(), [], owners.slice(1));
	t.deepEqual(map.findByOwner('a'), []);
	t.true(map.ranges.every(holding => holding.owner !== ''));
});

test('a target that joins gets keys', t => {
	const map = placed();
	const joined = [...owners, {id: 'e', capacity: 4}];
	t.true(settle(map, [], joined).map.findByOwner('e').length > 0);
	const rates: KeyRates = [[10, 0.2], [20, 0.2]];
	t.true(settle(map, rates, joined).map.findByOwner('e').length > 0);
});

test('without targets nothing is planned', t => {
	t.deepEqual(planKeyMoves(OwnershipMap.empty(), [], []), []);
});
