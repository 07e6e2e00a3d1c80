import test from 'ava';
import {ErrorKind} from '../errors/index.js';
import {AttemptOutcome} from './target-limiter.js';
import {
	AdmissionQueue, type QueuedRequest, type RequestStart, type QueueDecision,
} from './admission-queue.js';

let nextId = 0;

function item(now: number, facts: Partial<QueuedRequest> = {}): QueuedRequest {
	nextId += 1;
	return {
		id: String(nextId), priority: 2, objectiveAt: now + 400, deadline: now + 2500, workMs: 100, ...facts,
	};
}

function gateOf(slots: number, ids: readonly string[] = ['a']): AdmissionQueue {
	const gate = new AdmissionQueue();
	for (const id of ids) {
		gate.setTarget({id, slots, coldRate: 5});
	}

	return gate;
}

test('starts while there are slots, then waits', t => {
	const gate = gateOf(2);
	t.is(gate.offer(item(0), 0).starts.length, 1);
	t.is(gate.offer(item(0), 0).starts.length, 1);
	t.is(gate.offer(item(0), 0).starts.length, 0);
	t.is(gate.queued, 1);
});

test('an end starts the next one', t => {
	const gate = gateOf(1);
	const {starts: [first]} = gate.offer(item(0), 0);
	const second = item(0);
	gate.offer(second, 0);
	const {starts} = gate.finish(first.limiter, AttemptOutcome.Answered, 1, 100);
	t.deepEqual(starts.map(start => start.request.id), [second.id]);
});

test('an instance that is not in charge leaves cold targets alone', t => {
	const gate = gateOf(2, ['cold', 'warm']);
	gate.target('cold')?.coldLimiter.markCold(1000);
	const started = [1, 2, 3].flatMap(() => gate.offer(item(0, {isWarmOnly: true}), 0).starts);
	t.deepEqual(started.map(({limiter: lane}) => lane.id), ['warm', 'warm']);
	gate.removeTarget('warm');
	t.is(gate.offer(item(0, {isWarmOnly: true}), 0).refusals[0].error, ErrorKind.NoTarget);
	t.is(gate.offer(item(0), 0).starts.length, 1);
});

test('urgent work goes first, and late work last', t => {
	const gate = gateOf(1);
	const {starts: [first]} = gate.offer(item(0), 0);
	const late = item(0, {priority: 0, objectiveAt: 50});
	const plain = item(0);
	const urgent = item(0, {priority: 1});
	gate.offer(late, 0);
	gate.offer(plain, 0);
	gate.offer(urgent, 0);
	const order: string[] = [];
	let {limiter: lane} = first;
	for (let now = 100; order.length < 3; now += 100) {
		const {starts: [start]} = gate.finish(lane, AttemptOutcome.Answered, 1, now);
		order.push(start.request.id);
		lane = start.limiter;
	}

	t.deepEqual(order, [urgent.id, plain.id, late.id]);
});

test('what can not be answered in time is refused when it comes', t => {
	const gate = gateOf(1);
	gate.offer(item(0), 0);
	for (let i = 0; i < 3; i += 1) {
		gate.offer(item(0), 0);
	}

	const {refusals: [refusal]} = gate.offer(item(0, {objectiveAt: 100, deadline: 300}), 0);
	t.is(refusal.error, ErrorKind.DeadlineTooClose);
	t.true(refusal.retryAfterMs >= 300, `${refusal.retryAfterMs}`);
});

test('without a usable target it is refused', t => {
	const gate = gateOf(1);
	t.is(gate.offer(item(0, {excluded: new Set(['a'])}), 0).refusals[0].error, ErrorKind.NoTarget);
	gate.removeTarget('a');
	t.is(gate.offer(item(0), 0).refusals[0].error, ErrorKind.NoTarget);
});

test('an excluded target is left to others', t => {
	const gate = gateOf(1, ['a', 'b']);
	const {starts} = gate.offer(item(0, {excluded: new Set(['a'])}), 0);
	t.is(starts[0].limiter.id, 'b');
});

test('the quicker target is taken first', t => {
	const gate = gateOf(2, ['a', 'b']);
	gate.target('a')!.slowness.setReportedSlowdown(3);
	t.is(gate.offer(item(0), 0).starts[0].limiter.id, 'b');
});

test('a cancelled request does not start', t => {
	const gate = gateOf(1);
	const {starts: [first]} = gate.offer(item(0), 0);
	const second = item(0);
	gate.offer(second, 0);
	t.true(gate.cancel(second.id));
	t.deepEqual(gate.finish(first.limiter, AttemptOutcome.Answered, 1, 100).starts, []);
	t.false(gate.cancel(second.id));
});

type Outcome = {inTime: number; late: number; refused: number; longestHeldMs: number};

/** Plays arrivals at a rate against one target with four slots, and tells what callers get. */
function play(perSecond: number, seconds: number): Record<'urgent' | 'usual', Outcome> {
	const gate = gateOf(4);
	const results = {
		urgent: {
			inTime: 0, late: 0, refused: 0, longestHeldMs: 0,
		},
		usual: {
			inTime: 0, late: 0, refused: 0, longestHeldMs: 0,
		},
	};
	const kinds = new Map<string, {kind: 'urgent' | 'usual'; at: number}>();
	const running: Array<{start: RequestStart; endsAt: number}> = [];
	const take = (step: QueueDecision, now: number) => {
		for (const start of step.starts) {
			running.push({start, endsAt: now + 100});
		}

		for (const {request: {id}} of step.refusals) {
			const {kind, at} = kinds.get(id)!;
			results[kind].refused += 1;
			results[kind].longestHeldMs = Math.max(results[kind].longestHeldMs, now - at);
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
			take(gate.finish(run.start.limiter, AttemptOutcome.Answered, 1, now), now);
		}

		while (nextArrival <= now) {
			const kind = count % 4 === 0 ? 'urgent' : 'usual';
			const work = item(now, {priority: kind === 'urgent' ? 1 : 2});
			kinds.set(work.id, {kind, at: now});
			take(gate.offer(work, now), now);
			nextArrival += gap;
			count += 1;
		}

		take(gate.tick(now), now);
	}

	return results;
}

test('load: half the capacity is all in time', t => {
	const {urgent, usual} = play(20, 20);
	t.is(urgent.refused + usual.refused + urgent.late + usual.late, 0);
});

test('load: at twice the capacity the slots are full of work in time, urgent first', t => {
	const {urgent, usual} = play(80, 20);
	// 40 a second fit; 20 a second are urgent.
	t.true(urgent.inTime / 400 > 0.95, `${urgent.inTime}`);
	t.true((urgent.inTime + usual.inTime) / 800 > 0.85, `${urgent.inTime} ${usual.inTime}`);
	t.true(usual.refused > 300);
});

test('load: what is refused in an overload is refused well before its deadline', t => {
	const {usual} = play(80, 20);
	t.true(usual.longestHeldMs < 1250, `${usual.longestHeldMs}`);
});
