import test from 'ava';
import fc from 'fast-check';
import {OwnershipMap} from './ownership-map.js';
import {allKeys, keyCount} from './key-range.js';

test('a part that moves keeps its former owner', t => {
	const map = OwnershipMap.empty().assign([{...allKeys, owner: 'a'}], 1).assign([{from: 10, to: 19, owner: 'b'}], 2);
	t.deepEqual(map.findByKey(15).formers, [{owner: 'a', fence: 1}]);
	t.is(map.findByKey(15).fence, 2);
	t.is(map.findByKey(9).owner, 'a');
	t.is(map.findByKey(20).fence, 1);
});

test('keys that nobody had have no former owner', t => {
	t.deepEqual(OwnershipMap.empty().assign([{...allKeys, owner: 'a'}], 1).findByKey(0).formers, []);
});

test('a way back forgets the owner itself as former', t => {
	const range = {from: 10, to: 19};
	const map = OwnershipMap.empty().assign([{...allKeys, owner: 'a'}], 1)
		.assign([{...range, owner: 'b'}], 2)
		.assign([{...range, owner: 'a'}], 3);
	t.deepEqual(map.findByKey(10).formers, [{owner: 'b', fence: 2}]);
});

test('former owners add up until they are cleared', t => {
	const range = {from: 10, to: 19};
	const map = OwnershipMap.empty().assign([{...allKeys, owner: 'a'}], 1)
		.assign([{...range, owner: 'b'}], 2)
		.assign([{...range, owner: 'c'}], 3);
	t.deepEqual(map.findByKey(10).formers.map(({owner}) => owner), ['a', 'b']);
	t.deepEqual(map.clearFormer(range, 'a').findByKey(10).formers.map(({owner}) => owner), ['b']);
});

test('a new token joins neighbours of one owner', t => {
	const map = OwnershipMap.empty().assign([{...allKeys, owner: 'a'}], 1)
		.assign([{from: 0, to: 9, owner: 'a'}], 2)
		.renewFences(5);
	t.is(map.ranges.length, 1);
	t.is(map.findByKey(0).fence, 5);
});

test('holdings always cover all keys once, and tokens only grow', t => {
	const move = fc.record({from: fc.nat(keyCount - 1), size: fc.integer({min: 1, max: 20_000}), owner: fc.constantFrom('a', 'b', 'c')});
	fc.assert(fc.property(fc.array(move, {maxLength: 12}), moves => {
		let map = OwnershipMap.empty();
		for (const [i, {from, size, owner}] of moves.entries()) {
			const before = map;
			map = map.assign([{from, to: Math.min(keyCount - 1, from + size), owner}], i + 1);
			t.true(map.findByKey(from).fence > before.findByKey(from).fence);
		}

		let next = 0;
		for (const holding of map.ranges) {
			t.is(holding.from, next);
			next = holding.to + 1;
		}

		t.is(next, keyCount);
	}));
});
