/**
 * Guards against slots that stay taken, requests that run twice, and rules of the dispatch queue that do not hold, when
 * an instance sends requests to targets with a permit of their steward.
 */
import {setTimeout as sleep} from 'node:timers/promises';
import test from 'ava';
import {AttemptOutcome, ErrorKind, RunMode} from '@bluebellyard/core';
import {
	answered, DirectPathHarness, lost, meta, unreached,
} from '../mocks/direct-path-harness.js';
import {sharedQueueId} from '../view/index.js';

test('the receiving instance sends the request and the steward holds the slot until the end is reported', async t => {
	const harness = new DirectPathHarness();
	const {result} = await harness.start();
	t.deepEqual(harness.senders, ['e2']);
	t.is(harness.queues.inFlight, 1);
	const second = await harness.start({requestId: 'second'});
	t.deepEqual(harness.senders, ['e2']);
	harness.sent[0].end(answered);
	t.like(await result, {kind: 'answer', target: 't', answer: {status: 200, body: answered.body}});
	await sleep(5);
	t.deepEqual(harness.senders, ['e2', 'e2']);
	harness.sent[1].end(answered);
	t.like(await second.result, {kind: 'answer'});
	await sleep(5);
	t.is(harness.queues.inFlight, 0);
});

// The idle connections of all instances together must not exceed what a target accepts.
test('an idle connection is kept only if the target accepts one of each instance of its domain', async t => {
	for (const [maxConnections, domain, kept] of [[6, 'x', 1], [5, 'x', 0], [6, 'y', 0]] as const) {
		const harness = new DirectPathHarness();
		harness.view.store.set('service/s', {
			name: 's', isSharded: false, coldRate: 5, maxConnections,
		});
		harness.view.store.set('target/t', {...harness.view.targets.get('t')!, domain});
		harness.view.store.set(`steward/${sharedQueueId('s', domain)}`, 'e1');
		harness.view.notifyListeners();
		// eslint-disable-next-line no-await-in-loop
		const {result} = await harness.start();
		t.is(harness.sent[0].req.connections, kept);
		harness.sent[0].end(answered);
		// eslint-disable-next-line no-await-in-loop
		await result;
	}
});

test('requests that run at most once, trials and requests of other routes go through the steward', async t => {
	for (const changes of [{isOnce: true}, {mode: RunMode.TrialAlone}, {route: 'small'}]) {
		const harness = new DirectPathHarness();
		// eslint-disable-next-line no-await-in-loop
		const {result} = await harness.start(changes);
		t.deepEqual(harness.senders, ['e1']);
		harness.sent[0].end(answered);
		// eslint-disable-next-line no-await-in-loop
		t.like(await result, {kind: 'answer'});
	}
});

test('a slot is free when the link to the receiving instance is lost', async t => {
	const harness = new DirectPathHarness();
	harness.losesReports = true;
	await harness.start();
	harness.loseLink();
	await sleep(5);
	t.is(harness.queues.inFlight, 0);
	await harness.start({requestId: 'second'});
	t.is(harness.sent.length, 2);
	harness.loseLink();
});

test('a slot is free at the deadline if the report is lost', async t => {
	const harness = new DirectPathHarness();
	harness.losesReports = true;
	const {result} = await harness.start({deadline: 150});
	harness.sent[0].end(answered);
	t.like(await result, {kind: 'answer'});
	t.is(harness.queues.inFlight, 1);
	await sleep(250);
	t.is(harness.queues.inFlight, 0);
});

test('a failure whose report is lost has an unknown outcome', async t => {
	const harness = new DirectPathHarness();
	harness.losesReports = true;
	const {result} = await harness.start();
	harness.sent[0].end(lost);
	t.like(await result, {
		kind: 'failure', error: ErrorKind.ConnectionLost, isNotRun: false, target: 't',
	});
	harness.loseLink();
});

test('a permit that arrives late is not used, and the order goes through the steward', async t => {
	const harness = new DirectPathHarness();
	harness.replyAgeMs = 400;
	const {result} = await harness.start();
	t.deepEqual(harness.senders, ['e1']);
	harness.sent[0].end(answered);
	t.like(await result, {kind: 'answer'});
});

test('a permit for a target that has announced its leaving is not used', async t => {
	const harness = new DirectPathHarness();
	const waiting = await harness.start();
	const {result} = await harness.start({requestId: 'second'});
	harness.sent[0].end({...answered, meta: {...meta, isLeaving: true}});
	await waiting.result;
	t.like(await result, {kind: 'failure'});
	t.true(harness.view.isLeaving('t'));
	t.is(harness.sent.length, 1);
});

test('a pause that a target asks for holds for direct requests', async t => {
	const harness = new DirectPathHarness();
	const {result} = await harness.start();
	harness.sent[0].end({
		...answered, outcome: AttemptOutcome.Full, isNotRun: true, status: 503, meta: {...meta, isNotRun: true, pauseMs: 1000},
	});
	t.like(await result, {kind: 'failure', error: ErrorKind.TargetShed, isNotRun: true});
	const abort = new AbortController();
	const {result: second} = await harness.start({requestId: 'second'}, abort.signal);
	t.is(harness.sent.length, 1);
	abort.abort();
	t.like(await second, {kind: 'failure'});
});

// An instance that is partitioned from the targets would lose each of its requests, and its failures would pause the targets for all.
test('a request whose target is not reached goes through the steward, as do the next ones for a time', async t => {
	const harness = new DirectPathHarness();
	for (const requestId of ['first', 'second', 'third']) {
		// eslint-disable-next-line no-await-in-loop
		const {result} = await harness.start({requestId});
		if (harness.senders.at(-1) === 'e2') {
			harness.sent.at(-1)!.end(unreached);
			// eslint-disable-next-line no-await-in-loop
			await sleep(5);
		}

		harness.sent.at(-1)!.end(answered);
		// eslint-disable-next-line no-await-in-loop
		t.like(await result, {kind: 'answer'});
	}

	t.deepEqual(harness.senders, ['e2', 'e1', 'e1', 'e1']);
});

test('requests that do not reach the target pause it for nobody', async t => {
	const harness = new DirectPathHarness();
	for (const requestId of ['first', 'second']) {
		harness.clock.advance(3000);
		// eslint-disable-next-line no-await-in-loop
		const {result} = await harness.start({requestId});
		harness.sent.at(-1)!.end(unreached);
		// eslint-disable-next-line no-await-in-loop
		await sleep(5);
		harness.sent.at(-1)!.end({...answered, outcome: AttemptOutcome.Full, isNotRun: true});
		// eslint-disable-next-line no-await-in-loop
		t.like(await result, {kind: 'failure', error: ErrorKind.TargetShed});
	}

	t.deepEqual(harness.senders, ['e2', 'e1', 'e2', 'e1']);
});

test('a target that ends under a direct request is reported, and the request is not taken to the next one', async t => {
	const harness = new DirectPathHarness();
	harness.isRefused = true;
	const {result} = await harness.start();
	harness.sent[0].end(lost);
	t.like(await result, {kind: 'failure', isTargetGone: true, isNotRun: false});
	t.deepEqual(harness.crashes, ['t']);
});

test('the slot is free when the caller leaves, while the request runs or while the permit is on its way', async t => {
	for (const holdsReplies of [false, true]) {
		const harness = new DirectPathHarness();
		harness.holdsReplies = holdsReplies;
		const abort = new AbortController();
		// eslint-disable-next-line no-await-in-loop
		const {result} = await harness.start({}, abort.signal);
		t.is(harness.queues.inFlight, 1);
		abort.abort();
		// eslint-disable-next-line no-await-in-loop
		t.like(await result, {kind: 'failure', error: ErrorKind.CallerDisconnected});
		// eslint-disable-next-line no-await-in-loop
		await sleep(5);
		t.is(harness.queues.inFlight, 0);
	}
});
