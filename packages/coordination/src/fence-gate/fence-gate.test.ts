import test from 'ava';
import {FenceGate} from './fence-gate.js';

test('an older fence is refused', t => {
	const gate = new FenceGate();
	t.true(gate.admit('a', 5));
	t.true(gate.admit('a', 5));
	t.true(gate.admit('a', 7));
	t.false(gate.admit('a', 6));
	t.is(gate.fence('a'), 7);
});

test('resources are independent', t => {
	const gate = new FenceGate();
	gate.admit('a', 5);
	t.true(gate.admit('b', 1));
	t.is(gate.fence('c'), undefined);
});
