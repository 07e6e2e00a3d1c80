import test from 'ava';
import {FenceGate} from './fence-gate.js';

test('an older fence is refused', t => {
	const checker = new FenceGate();
	t.true(checker.admit('a', 5));
	t.true(checker.admit('a', 5));
	t.true(checker.admit('a', 7));
	t.false(checker.admit('a', 6));
	t.is(checker.fence('a'), 7);
});

test('resources are independent', t => {
	const checker = new FenceGate();
	checker.admit('a', 5);
	t.true(checker.admit('b', 1));
	t.is(checker.fence('c'), undefined);
});
