import test from 'ava';
import {QueueState} from './queue-state.js';

const load = {capacity: 4, aheadMs: 800};

test('without a state a queue is expected to be empty, with the capacity of its slots', t => {
	t.deepEqual(new QueueState().expect('e1', 6, 0), {
		capacity: 6, aheadMs: 0, ageMs: undefined, isFull: false,
	});
});

// The work of a state that is never renewed would keep requests away from a queue that is long empty.
test('load: the work of a state halves every 400 ms and the state is unknown after 2 s', t => {
	const state = new QueueState();
	state.recordLoad(load, 'e1', 1000);
	t.like(state.expect('e1', 6, 1000), {...load, ageMs: 0});
	t.like(state.expect('e1', 6, 1400), {capacity: 4, aheadMs: 400, ageMs: 400});
	t.like(state.expect('e1', 6, 3001), {capacity: 6, aheadMs: 0, ageMs: undefined});
});

// Between two answers an instance would send everything to the queue that was the best one.
test('load: own requests in flight since the state are counted once', t => {
	const state = new QueueState();
	const endFirst = state.recordSend(100);
	t.is(state.expect('e1', 6, 0).aheadMs, 100);
	state.recordLoad(load, 'e1', 0);
	t.is(state.expect('e1', 6, 0).aheadMs, 800);
	const endSecond = state.recordSend(50);
	endFirst();
	t.is(state.expect('e1', 6, 0).aheadMs, 850);
	endSecond();
	t.is(state.expect('e1', 6, 0).aheadMs, 800);
});

test('the state of a former steward is not used', t => {
	const state = new QueueState();
	state.recordLoad(load, 'e1', 0);
	t.like(state.expect('e2', 6, 1), {capacity: 6, aheadMs: 0, ageMs: undefined});
});

test('load: a queue that refused is full until it serves a request, 600 ms at most', t => {
	const state = new QueueState();
	state.recordRefusal(0);
	t.true(state.expect('e1', 6, 599).isFull);
	t.false(state.expect('e1', 6, 600).isFull);
	state.recordRefusal(1000);
	state.recordAnswer();
	t.false(state.expect('e1', 6, 1001).isFull);
});
