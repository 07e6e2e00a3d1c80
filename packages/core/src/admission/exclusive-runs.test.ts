import test from 'ava';
import {AdmissionQueue} from './admission-queue.js';
import type {QueuedRequest} from './queued-request.js';
import {AttemptOutcome} from './target-limiter.js';

function request(id: string, isAlone = false): QueuedRequest {
	return {
		id, priority: 2, objectiveAt: 1000, deadline: 2500, workMs: 100, isAlone,
	};
}

function makeQueue(ids: readonly string[]): AdmissionQueue {
	const queue = new AdmissionQueue();
	for (const id of ids) {
		queue.setTarget({id, slots: 2, coldRate: 5});
	}

	return queue;
}

test('a request that runs alone waits for what runs at its target, and nothing starts beside it', t => {
	const queue = makeQueue(['a']);
	const {starts: [first]} = queue.offer(request('first'), 0);
	t.deepEqual(queue.offer(request('alone', true), 0).starts, []);
	t.deepEqual(queue.offer(request('other'), 0).starts, []);
	const {starts: [alone, ...besides]} = queue.finish(first.limiter, AttemptOutcome.Answered, 1, 100);
	t.is(alone.request.id, 'alone');
	t.deepEqual(besides, []);
	t.deepEqual(queue.tick(150).starts, []);
	const {starts} = queue.finish(alone.limiter, AttemptOutcome.Answered, 1, 200);
	t.deepEqual(starts.map(start => start.request.id), ['other']);
});

test('other targets of the service go on', t => {
	const queue = makeQueue(['a', 'b']);
	queue.offer(request('first'), 0);
	const {starts: [alone]} = queue.offer(request('alone', true), 0);
	t.is(alone.request.id, 'alone');
	const others = ['x', 'y'].flatMap(id => queue.offer(request(id), 10).starts);
	t.deepEqual(others.map(({limiter}) => limiter.id), [others[0].limiter.id]);
	t.not(others[0].limiter.id, alone.limiter.id);
});

test('a target that does not become free is not kept from others for long', t => {
	const queue = makeQueue(['a']);
	queue.offer(request('first'), 0);
	queue.offer(request('alone', true), 0);
	queue.offer(request('other'), 0);
	t.deepEqual(queue.tick(499).starts, []);
	t.deepEqual(queue.tick(500).starts.map(start => start.request.id), ['alone']);
	queue.offer(request('later'), 501);
	t.is(queue.queued, 2);
});

test('a request that leaves the queue gives its target back', t => {
	const queue = makeQueue(['a']);
	queue.offer(request('first'), 0);
	queue.offer(request('alone', true), 0);
	queue.offer(request('other'), 0);
	queue.cancel('alone');
	t.deepEqual(queue.tick(1).starts.map(start => start.request.id), ['other']);
});
