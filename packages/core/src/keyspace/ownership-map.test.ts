import test from 'ava';
import fc from 'fast-check';
import {OwnershipMap} from './ownership-map.js';
import {allKeys, keyCount} from './key-range.js';

test('a moved part keeps its former owner', t => {
	const map = OwnershipMap.empty().assign([{...allKeys, owner: 'a'}], 1).assign([{from: 10, to: 19, owner: 'b'}], 2);
	t.deepEqual(map.findByKey(15).formers, [{owner: 'a', fence: 1}]);
	t.is(map.findByKey(15).fence, 2);
	t.is(map.findByKey(9).owner, 'a');
	t.is(map.findByKey(20).fence, 1);
});

test('keys without an owner get no former owner', t => {
	t.deepEqual(OwnershipMap.empty().assign([{...allKeys, owner: 'a'}], 1).findByKey(0).formers, []);
});

test('a range that returns to its owner does not list it as former', t => {
	const range = {from: 10, to: 19};
	const map = OwnershipMap.empty().assign([{...allKeys, owner: 'a'}], 1)
		.assign([{...range, owner: 'b'}], 2)
		.assign([{...range, owner: 'a'}], 3);
	t.deepEqual(map.findByKey(10).formers, [{owner: 'b', fence: 2}]);
});

test('former owners accumulate until they are cleared', t => {
	const range = {from: 10, to: 19};
	const map = OwnershipMap.empty().assign([{...allKeys, owner: 'a'}], 1)
		.assign([{...range, owner: 'b'}], 2)
		.assign([{...range, owner: 'c'}], 3);
	t.deepEqual(map.findByKey(10).formers.map(({owner}) => owner), ['a', 'b']);
	t.deepEqual(map.clearFormer(range, 'a').findByKey(10).formers.map(({owner}) => owner), ['b']);
});

test('a new token merges adjacent ranges of one owner', t => {
	const map = OwnershipMap.empty().assign([{...allKeys, owner: 'a'}], 1)
		.assign([{from: 0, to: 9, owner: 'a'}], 2)
		.renewFences(5);
	t.is(map.ranges.length, 1);
	t.is(map.findByKey(0).fence, 5);
});

test('ranges always cover every key once, and tokens only grow', t => {
	const move = fc.record({from: fc.nat(keyCount - 1), size: fc.integer({min: 1, max: 20_000}), owner: fc.constantFrom('a', 'b', 'c')});
	fc.assert(fc.property(fc.array(move, {maxLength: 12}), moves => {
		let map = OwnershipMap.empty();
		for (const [i, {from, size, owner}] of moves.entries()) {
			const before = map;
			map = map.assign([{from, to: Math.min(keyCount - 1, from + size), owner}], i + 1);
			t.true(map.findByKey(from).fence > before.findByKey(from).fence);
		}

		let next = 0;
		for (const range of map.ranges) {
			t.is(range.from, next);
			next = range.to + 1;
		}

		t.is(next, keyCount);
	}));
});
