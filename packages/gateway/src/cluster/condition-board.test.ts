import test from 'ava';
import {ConditionBoard} from './condition-board.js';

const isKnown = () => true;

test('the newest statement counts', t => {
	const board = new ConditionBoard(new Map(), 0);
	board.apply('e1', [['a', 2, 100]], 1000);
	board.apply('e2', [['a', 5, 3000]], 1100);
	t.deepEqual(board.limits(isKnown, 1100), new Map([['a', 2]]));
	board.apply('e2', [['a', 5, 0]], 2500);
	t.deepEqual(board.limits(isKnown, 2500), new Map([['a', 5]]));
});

test('of two statements of about the same time the stricter one counts', t => {
	const board = new ConditionBoard(new Map(), 0);
	board.apply('e1', [['a', 2, 0]], 1000);
	board.apply('e2', [['a', null, 0]], 1200);
	t.deepEqual(board.limits(isKnown, 1200), new Map([['a', 2]]));
	board.apply('e2', [['a', 1, 100]], 1250);
	t.deepEqual(board.limits(isKnown, 1250), new Map([['a', 1]]));
});

test('an instance that hears the end of a limit soon after the limit is believed', t => {
	const board = new ConditionBoard(new Map(), 0);
	board.apply('e1', [['a', 2, 0]], 1000);
	board.apply('e1', [['a', null, 0]], 1200);
	t.deepEqual(board.limits(isKnown, 1200), new Map());
});

test('limits of the former leader hold until others are heard, or for a time', t => {
	const board = new ConditionBoard(new Map([['a', 2], ['b', 3]]), 1000);
	board.apply('e1', [['b', null, 0]], 3000);
	t.deepEqual(board.limits(isKnown, 3000), new Map([['a', 2]]));
	t.deepEqual(board.limits(isKnown, 11_001), new Map());
});

test('limits of targets that are gone end', t => {
	const board = new ConditionBoard(new Map([['a', 2]]), 0);
	t.deepEqual(board.limits(() => false, 1), new Map());
});

test('a limit that changes often is published at intervals, a much stricter one at once', t => {
	const board = new ConditionBoard(new Map(), 0);
	const published = [];
	for (let now = 0; now < 5000; now += 100) {
		board.apply('e1', [['a', 2 + (now / 5000), 0]], now);
		published.push(board.limits(isKnown, now).get('a'));
	}

	t.true(new Set(published).size <= 5);
	board.apply('e1', [['a', 1, 0]], 5000);
	t.is(board.limits(isKnown, 5000).get('a'), 1);
});
