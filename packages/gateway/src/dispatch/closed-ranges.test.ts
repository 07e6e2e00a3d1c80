import test from 'ava';
import {ClosedRanges} from './closed-ranges.js';

test('requests wait for a handover but not after the loss of an owner', t => {
	const closed = new ClosedRanges();
	t.true(closed.maxWaitMs('r', 0) > 0);
	t.true(closed.maxWaitMs('r', 200) > 0);
	t.is(closed.maxWaitMs('r', 1000), 0);
	closed.markOpen('r');
	t.true(closed.maxWaitMs('r', 2000) > 0);
});
