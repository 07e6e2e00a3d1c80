import test from 'ava';
import {ErrorKind} from '../errors/index.js';
import {AttemptOutcome} from './target-limiter.js';
import {AdmissionQueue, type RequestStart, type QueueDecision} from './admission-queue.js';
import type {QueuedRequest} from './queued-request.js';

let nextId = 0;

function request(now: number, rest: Partial<QueuedRequest> = {}): QueuedRequest {
	nextId += 1;
	return {
		id: String(nextId), priority: 2, objectiveAt: now + 400, deadline: now + 2500, workMs: 100, ...rest,
	};
}

function makeQueue(slots: number, ids: readonly string[] = ['a']): AdmissionQueue {
	const queue = new AdmissionQueue();
	for (const id of ids) {
		queue.setTarget({id, slots, coldRate: 5});
	}

	return queue;
}

test('starts while there are slots, then waits', t => {
	const queue = makeQueue(2);
	t.is(queue.offer(request(0), 0).starts.length, 1);
	t.is(queue.offer(request(0), 0).starts.length, 1);
	t.is(queue.offer(request(0), 0).starts.length, 0);
	t.is(queue.queued, 1);
});

// Instances compare queues by this load; a queue whose running work is not counted looks empty until its slots are full.
test('the load is the waiting work and half of the running work, in slots of normal speed', t => {
	const queue = makeQueue(2, ['a', 'b']);
	t.deepEqual(queue.load(0), {capacity: 4, aheadMs: 0});
	queue.offer(request(0), 0);
	t.is(queue.load(0).aheadMs, 50);
	for (let i = 0; i < 4; i += 1) {
		queue.offer(request(0), 0);
	}

	t.is(queue.load(0).aheadMs, 300);
	queue.removeTarget('a');
	t.is(queue.load(0).capacity, 2);
});

test('the end of a request starts the next one', t => {
	const queue = makeQueue(1);
	const {starts: [first]} = queue.offer(request(0), 0);
	const second = request(0);
	queue.offer(second, 0);
	const {starts} = queue.finish(first.limiter, AttemptOutcome.Answered, 1, 100);
	t.deepEqual(starts.map(start => start.request.id), [second.id]);
});

test('warm-only requests are not sent to cold targets', t => {
	const queue = makeQueue(2, ['cold', 'warm']);
	queue.target('cold')?.coldLimiter.markCold(1000);
	const started = [1, 2, 3].flatMap(() => queue.offer(request(0, {skipsRateLimited: true}), 0).starts);
	t.deepEqual(started.map(({limiter}) => limiter.id), ['warm', 'warm']);
	queue.removeTarget('warm');
	t.is(queue.offer(request(0, {skipsRateLimited: true}), 0).refusals[0].error, ErrorKind.NoTarget);
	t.is(queue.offer(request(0), 0).starts.length, 1);
});

test('urgent requests start first, and late ones last', t => {
	const queue = makeQueue(1);
	const {starts: [first]} = queue.offer(request(0), 0);
	const late = request(0, {priority: 0, objectiveAt: 50});
	const plain = request(0);
	const urgent = request(0, {priority: 1});
	queue.offer(late, 0);
	queue.offer(plain, 0);
	queue.offer(urgent, 0);
	const started: string[] = [];
	let {limiter} = first;
	for (let now = 100; started.length < 3; now += 100) {
		const {starts: [start]} = queue.finish(limiter, AttemptOutcome.Answered, 1, now);
		started.push(start.request.id);
		limiter = start.limiter;
	}

	t.deepEqual(started, [urgent.id, plain.id, late.id]);
});

test('a request that cannot be answered in time is refused on arrival', t => {
	const queue = makeQueue(1);
	queue.offer(request(0), 0);
	for (let i = 0; i < 3; i += 1) {
		queue.offer(request(0), 0);
	}

	const {refusals: [refusal]} = queue.offer(request(0, {objectiveAt: 100, deadline: 300}), 0);
	t.is(refusal.error, ErrorKind.DeadlineTooClose);
	t.true(refusal.retryAfterMs >= 300, `${refusal.retryAfterMs}`);
});

test('a refused caller is told to come back when its request could be answered', t => {
	const queue = makeQueue(1);
	for (let i = 0; i < 5; i += 1) {
		queue.offer(request(0), 0);
	}

	// Four requests of 100 ms wait; those in time leave at least a part of the capacity to late ones.
	const early = queue.offer(request(0, {objectiveAt: 100, deadline: 400}), 0).refusals[0];
	t.true(early.retryAfterMs >= 400, `${early.retryAfterMs}`);
	t.is(early.error, ErrorKind.DeadlineTooClose);
});

// It was told to come back after 50 ms, too late for any answer.
test('a caller whose time has run out is told no time before its deadline', t => {
	const queue = makeQueue(1);
	queue.offer(request(0), 0);
	queue.offer(request(0, {objectiveAt: 300, deadline: 600, workMs: 200}), 0);
	const {refusals: [refusal]} = queue.tick(520);
	t.is(refusal.error, ErrorKind.DeadlinePassed);
	t.true(520 + refusal.retryAfterMs >= 600, `${refusal.retryAfterMs}`);
});

// Half of its time was kept for a retry in the same queue, although it could be answered late.
test('a late request waits as long as it can be expected to be answered', t => {
	const queue = makeQueue(1);
	for (let i = 0; i < 6; i += 1) {
		queue.offer(request(0, {objectiveAt: 2500}), 0);
	}

	t.deepEqual(queue.offer(request(0, {objectiveAt: 300, deadline: 1350}), 0).refusals, []);
});

test('a request without a usable target is refused', t => {
	const queue = makeQueue(1);
	t.is(queue.offer(request(0, {excluded: new Set(['a'])}), 0).refusals[0].error, ErrorKind.NoTarget);
	queue.removeTarget('a');
	t.is(queue.offer(request(0), 0).refusals[0].error, ErrorKind.NoTarget);
});

test('an excluded target is not used', t => {
	const queue = makeQueue(1, ['a', 'b']);
	const {starts} = queue.offer(request(0, {excluded: new Set(['a'])}), 0);
	t.is(starts[0].limiter.id, 'b');
});

test('the faster target is used first', t => {
	const queue = makeQueue(2, ['a', 'b']);
	queue.target('a')!.slowness.setReportedSlowdown(3);
	t.is(queue.offer(request(0), 0).starts[0].limiter.id, 'b');
});

test('a cancelled request does not start', t => {
	const queue = makeQueue(1);
	const {starts: [first]} = queue.offer(request(0), 0);
	const second = request(0);
	queue.offer(second, 0);
	t.true(queue.cancel(second.id));
	t.deepEqual(queue.finish(first.limiter, AttemptOutcome.Answered, 1, 100).starts, []);
	t.false(queue.cancel(second.id));
});

type Outcome = {inTime: number; late: number; refused: number; longestWaitMs: number};

/** Simulates arrivals at a rate at one target with four slots. Returns the results of the callers. */
function simulate(perSecond: number, seconds: number): Record<'urgent' | 'usual', Outcome> {
	const queue = makeQueue(4);
	const results = {
		urgent: {
			inTime: 0, late: 0, refused: 0, longestWaitMs: 0,
		},
		usual: {
			inTime: 0, late: 0, refused: 0, longestWaitMs: 0,
		},
	};
	const kinds = new Map<string, {kind: 'urgent' | 'usual'; at: number}>();
	const running: Array<{start: RequestStart; endsAt: number}> = [];
	const apply = (decision: QueueDecision, now: number) => {
		for (const start of decision.starts) {
			running.push({start, endsAt: now + 100});
		}

		for (const {request: {id}} of decision.refusals) {
			const {kind, at} = kinds.get(id)!;
			results[kind].refused += 1;
			results[kind].longestWaitMs = Math.max(results[kind].longestWaitMs, now - at);
		}
	};

	const gap = 1000 / perSecond;
	let nextArrival = 0;
	let count = 0;
	for (let now = 0; now < seconds * 1000; now += 1) {
		for (const run of running.filter(({endsAt}) => endsAt <= now)) {
			running.splice(running.indexOf(run), 1);
			const {kind, at} = kinds.get(run.start.request.id)!;
			results[kind][now - at <= 400 ? 'inTime' : 'late'] += 1;
			apply(queue.finish(run.start.limiter, AttemptOutcome.Answered, 1, now), now);
		}

		while (nextArrival <= now) {
			const kind = count % 4 === 0 ? 'urgent' : 'usual';
			const work = request(now, {priority: kind === 'urgent' ? 1 : 2});
			kinds.set(work.id, {kind, at: now});
			apply(queue.offer(work, now), now);
			nextArrival += gap;
			count += 1;
		}

		apply(queue.tick(now), now);
	}

	return results;
}

test('load: at half the capacity all requests are in time', t => {
	const {urgent, usual} = simulate(20, 20);
	t.is(urgent.refused + usual.refused + urgent.late + usual.late, 0);
});

test('load: at twice the capacity most slots serve requests in time, urgent ones first', t => {
	const {urgent, usual} = simulate(80, 20);
	// The target can serve 40 requests per second; 20 per second are urgent.
	t.true(urgent.inTime / 400 > 0.95, `${urgent.inTime}`);
	t.true((urgent.inTime + usual.inTime) / 800 > 0.85, `${urgent.inTime} ${usual.inTime}`);
	t.true(usual.refused > 300);
});

test('load: under overload requests are refused well before their deadlines', t => {
	const {usual} = simulate(80, 20);
	t.true(usual.longestWaitMs < 1250, `${usual.longestWaitMs}`);
});

/**
 * Starts as many requests as two instances allow: a steward that loses contact to the leader at 1000 ms and goes on, and
 * its successor from 2100 ms on. Returns the times of the starts.
 */
function startAsTwoStewards(prepare: (queue: AdmissionQueue) => void): number[] {
	const [former, successor] = [makeQueue(50), makeQueue(50)];
	const starts: number[] = [];
	for (const queue of [former, successor]) {
		prepare(queue);
		queue.setSteward(false, 0);
	}

	for (let now = 0; now < 8000; now += 10) {
		former.setSteward(true, now);
		former.updateRateShare(now < 1000, now);
		successor.setSteward(now >= 2100, now);
		successor.updateRateShare(true, now);
		for (const queue of [former, successor]) {
			for (const {limiter} of queue.offer(request(now, {workMs: 1}), now).starts) {
				starts.push(now);
				queue.finish(limiter, AttemptOutcome.Answered, 1, now);
			}
		}
	}

	return starts;
}

function busiestWindow(starts: readonly number[], windowMs: number): number {
	return Math.max(...starts.map(start => starts.filter(other => other >= start && other < start + windowMs).length));
}

test('a cold target is not fed at twice its rate by a steward that is cut off and its successor', t => {
	const starts = startAsTwoStewards(queue => {
		queue.target('a')!.configure({id: 'a', slots: 50, coldRate: 20});
		queue.target('a')!.coldLimiter.markCold(60_000);
	});
	const busiest = busiestWindow(starts, 1000);
	t.true(busiest <= (20 * 1.5) + 5, `${busiest}`);
});

test('a target that names a limit does not get twice that from a steward that is cut off and its successor', t => {
	const starts = startAsTwoStewards(queue => {
		queue.target('a')!.namedLimiter.setLimit(20, 0);
	});
	const busiest = busiestWindow(starts, 4000);
	t.true(busiest <= (20 * 1.5 * 4) + 5, `${busiest}`);
});

test('a queue that is no longer steward refuses what waits for a target with a limit', t => {
	const queue = makeQueue(2);
	queue.setSteward(true, 0);
	queue.target('a')!.namedLimiter.setLimit(2, 0);
	const {starts, refusals} = queue.offer(request(0, {objectiveAt: 2000}), 0);
	t.deepEqual([starts.length, refusals.length], [0, 0]);
	queue.setSteward(false, 100);
	t.deepEqual(queue.tick(100).refusals.map(({error}) => error), [ErrorKind.NoTarget]);
	t.is(queue.nextTick(100), undefined);
});

test('a limit leaves no time for a request: it is refused on arrival, with a time that has room', t => {
	const queue = makeQueue(2);
	queue.target('a')!.namedLimiter.setLimit(1, 0);
	const offer = () => queue.offer(request(0, {deadline: 2500, objectiveAt: 400}), 0);
	const results = [offer(), offer(), offer(), offer()];
	const refused = results.flatMap(({refusals}) => refusals);
	t.true(refused.length >= 2);
	t.true(refused.every(({retryAfterMs}) => retryAfterMs >= 1000), `${refused.map(({retryAfterMs}) => retryAfterMs).join(' ')}`);
});

test('targets with room go first, a target that names a limit still gets single requests', t => {
	const queue = makeQueue(4, ['limited', 'other']);
	queue.target('limited')!.namedLimiter.setLimit(2, 0);
	const started: string[] = [];
	for (let now = 0; now < 10_000; now += 50) {
		for (const {limiter} of queue.offer(request(now, {workMs: 20}), now).starts) {
			started.push(limiter.id);
			queue.finish(limiter, AttemptOutcome.Answered, 1, now);
		}
	}

	const limited = started.filter(id => id === 'limited').length;
	t.is(started.length, 200);
	t.true(limited >= 5 && limited <= 10, `${limited}`);
});

// The first target that is used looks faster than those of which nothing is known, so it got all requests.
test('load: equal idle targets share the load', t => {
	const queue = makeQueue(2, ['a', 'b', 'c']);
	const started: string[] = [];
	for (let now = 0; now < 10_000; now += 33) {
		// A request takes 20 ms where 150 ms are expected before any was measured.
		for (const {limiter} of queue.offer(request(now, {workMs: 150}), now).starts) {
			started.push(limiter.id);
			queue.finish(limiter, AttemptOutcome.Answered, 20 / 150, now + 20);
		}
	}

	const largest = Math.max(...['a', 'b', 'c'].map(id => started.filter(other => other === id).length));
	t.true(largest <= started.length / 2, `${largest} of ${started.length} to one target`);
});
