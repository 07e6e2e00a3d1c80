/**
 * Guards against failures of targets that the steward takes for callers that left, against callers that get no answer,
 * and against cold targets that receive too many requests a second, when instances send requests with a permit.
 */
import {setTimeout as sleep} from 'node:timers/promises';
import test from 'ava';
import {AttemptOutcome, ErrorKind} from '@bluebellyard/core';
import {
	answered, DirectPathHarness, lost, meta, unreached,
} from '../mocks/direct-path-harness.js';
import {ConnectionFault} from '../queue/index.js';

// The timers of both instances end at about the same time; without a report, crash detection forgets the request.
test('a request without an answer by its deadline is reported as such, and suspected if its target ends', async t => {
	const harness = new DirectPathHarness();
	const {result} = await harness.start({deadline: 150});
	const {req, end} = harness.sent[0];
	await sleep(req.timeLeftMs);
	end({...lost, outcome: AttemptOutcome.TimedOut, fault: ConnectionFault.None});
	t.like(await result, {kind: 'failure', error: ErrorKind.TargetTimeout, isNotRun: false});
	await sleep(5);
	harness.view.store.remove('target/t');
	harness.view.notifyListeners();
	t.deepEqual(harness.crashes, ['t']);
});

// A failure as of a caller that left closes the connection of one that waits, without a status.
test('a caller that waits is not taken for one that left if the target was not reached by the deadline', async t => {
	const harness = new DirectPathHarness();
	const {result} = await harness.start();
	harness.clock.advance(2010);
	harness.sent[0].end(unreached);
	t.like(await result, {kind: 'failure', error: ErrorKind.ConnectFailed, isNotRun: true});
	t.is(harness.queues.inFlight, 0);
});

test('a caller that waits is not taken for one that left if the permit arrives after the deadline', async t => {
	const harness = new DirectPathHarness();
	harness.replyAgeMs = 2010;
	const {result} = await harness.start();
	t.like(await result, {kind: 'failure', error: ErrorKind.DeadlinePassed, isNotRun: true});
	t.deepEqual(harness.senders, []);
});

// A permit may be used up to 300 ms after the start that the limit of a cold target counts.
test('a cold target receives no direct requests', async t => {
	const harness = new DirectPathHarness();
	harness.view.store.set('target/t', {...harness.view.targets.get('t')!, coldLeftMs: 10_000});
	harness.view.notifyListeners();
	const {result} = await harness.start();
	t.deepEqual(harness.senders, ['e1']);
	harness.sent[0].end(answered);
	t.like(await result, {kind: 'answer'});
});

test('a target that states a limit receives no direct requests', async t => {
	const harness = new DirectPathHarness();
	const {result} = await harness.start();
	t.deepEqual(harness.senders, ['e2']);
	harness.sent[0].end({...answered, meta: {...meta, limit: 5, hasLimit: true}});
	await result;
	await sleep(5);
	harness.clock.advance(1000);
	const {result: second} = await harness.start({requestId: 'second'});
	t.deepEqual(harness.senders, ['e2', 'e1']);
	harness.sent[1].end(answered);
	t.like(await second, {kind: 'answer'});
});

// A partition of one instance from a target must not pause the target for the callers of all others.
test('connections that break at one instance alone do not stop others from using the target', async t => {
	const harness = new DirectPathHarness();
	harness.view.store.set('target/t', {...harness.view.targets.get('t')!, slots: 6});
	harness.view.notifyListeners();
	const results: Array<Promise<unknown>> = [];
	for (let n = 0; n < 6; n += 1) {
		// eslint-disable-next-line no-await-in-loop
		const {result} = await harness.start({requestId: `r${n}`});
		results.push(result);
	}

	t.is(harness.sent.length, 6);
	for (const {end} of harness.sent.slice(0, 6)) {
		end(lost);
	}

	await Promise.all(results);
	harness.clock.advance(150);
	const next = await harness.start({requestId: 'next', route: 'small'});
	t.is(harness.senders.length, 7, 'the target is paused');
	harness.sent[6].end(answered);
	t.like(await next.result, {kind: 'answer'});
});
