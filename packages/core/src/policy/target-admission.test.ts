import test from 'ava';
import fc from 'fast-check';
import {ErrorKind} from '../errors/index.js';
import {Repeat} from '../rules/index.js';
import {
	AdmissionKind, CancelResult, OrderOutcome, type QueueEntry, type AdmissionDecision,
} from './queue-entry.js';
import {TargetAdmission} from './target-admission.js';

const answered = {outcome: OrderOutcome.Answered};

function entry(id: string, rest: Partial<QueueEntry> = {}): QueueEntry {
	return {
		id, caller: 'a', repeat: Repeat.Idempotent, deadline: 1000, ...rest,
	};
}

function createAdmission(slots = 1, queue = 8): TargetAdmission {
	return new TargetAdmission({slots, queue, callerShare: 0.5});
}

function fill(admission: TargetAdmission, entries: QueueEntry[], now = 0): unknown[] {
	return entries.map(next => {
		const result = admission.offer(next, now);
		return result.kind === AdmissionKind.Refused ? result.error : result.kind;
	});
}

function ids(decision: AdmissionDecision): string[] {
	return decision.start.map(item => item.id);
}

test('starts up to the limit, then queues', t => {
	t.deepEqual(fill(createAdmission(), [entry('1'), entry('2')]), [AdmissionKind.Start, AdmissionKind.Queued]);
});

test('one caller gets its share of the queue', t => {
	const admission = createAdmission(1, 4);
	const kinds = fill(admission, [...'12345'].map(id => entry(id)));
	t.deepEqual(kinds.slice(3), [ErrorKind.CallerShare, ErrorKind.CallerShare]);
	t.deepEqual(fill(admission, [entry('6', {caller: 'b'})]), [AdmissionKind.Queued]);
});

test('a full queue has a reserve for entries admitted before', t => {
	const admission = createAdmission(1, 2);
	fill(admission, [entry('1'), entry('2'), entry('3', {caller: 'b'})]);
	t.deepEqual(fill(admission, [entry('4', {caller: 'c'})]), [ErrorKind.QueueFull]);
	t.deepEqual(fill(admission, [entry('5', {caller: 'c', admitted: true})]), [AdmissionKind.Queued]);
});

test('callers take turns', t => {
	const admission = createAdmission(1, 8);
	fill(admission, [entry('a1'), entry('a2'), entry('a3'), entry('b1', {caller: 'b'})]);
	t.deepEqual(ids(admission.finish('a1', answered, 1)), ['a2']);
	t.deepEqual(ids(admission.finish('a2', answered, 2)), ['b1']);
});

test('non-idempotent entries start first, but not without bound', t => {
	const admission = createAdmission(1, 20);
	const once = [...'12345'].map(id => entry(id, {repeat: Repeat.Once}));
	fill(admission, [entry('0'), entry('x'), ...once]);
	const order = ['0', '1', '2', '3', 'x'].map((id, now) => ids(admission.finish(id, answered, now)));
	t.deepEqual(order.flat(), ['1', '2', '3', 'x', '4']);
});

test('an entry that would wait too long is refused at once', t => {
	const admission = createAdmission(1, 100);
	fill(admission, [entry('1')]);
	admission.finish('1', answered, 100);
	fill(admission, [entry('2'), entry('3')], 100);
	t.deepEqual(fill(admission, [entry('4', {deadline: 350})], 100), [ErrorKind.DeadlineTooClose]);
	t.deepEqual(fill(admission, [entry('5', {deadline: 450})], 100), [AdmissionKind.Queued]);
	t.deepEqual(fill(admission, [entry('6', {deadline: 100})], 100), [ErrorKind.DeadlinePassed]);
});

test('one slow first answer does not block an idle target', t => {
	const admission = createAdmission(2, 100);
	fill(admission, [entry('1', {deadline: 5000})]);
	admission.finish('1', answered, 2000);
	t.is(admission.load(2000).serviceMs, 0, 'one sample is not enough');
	t.deepEqual(fill(admission, [entry('2', {deadline: 3000})], 2000), [AdmissionKind.Start]);
});

test('a slow target receives a request when it is idle', t => {
	const admission = createAdmission(1, 100);
	for (let i = 0; i < 20; i += 1) {
		fill(admission, [entry(String(i), {deadline: 1e6})], i * 2000);
		admission.finish(String(i), answered, (i + 1) * 2000);
	}

	t.is(admission.load(40_000).serviceMs, 2000);
	t.is(admission.load(42_000).serviceMs, 0, 'a stale service time is not reported');
	t.deepEqual(fill(admission, [entry('a', {deadline: 40_500})], 40_000), [AdmissionKind.Start]);
	t.deepEqual(fill(admission, [entry('b', {deadline: 40_500})], 40_000), [ErrorKind.DeadlineTooClose]);
});

test('a stuck request increases the expected wait', t => {
	const admission = createAdmission(1, 100);
	fill(admission, [entry('1')]);
	admission.finish('1', answered, 10);
	fill(admission, [entry('2')], 10);
	t.deepEqual(fill(admission, [entry('3', {deadline: 600})], 500), [ErrorKind.DeadlineTooClose]);
});

test('a queued entry expires when it can no longer be answered in time', t => {
	const admission = createAdmission();
	for (let now = 0; now < 40; now += 10) {
		fill(admission, [entry(`a${now}`)], now);
		admission.finish(`a${now}`, answered, now + 10);
	}

	fill(admission, [entry('2'), entry('3', {deadline: 100})], 40);
	t.is(admission.nextTick(60), 90);
	t.deepEqual(admission.tick(89).refuse, []);
	t.deepEqual(admission.tick(90).refuse.map(refusal => refusal.error), [ErrorKind.DeadlinePassed]);
	t.is(admission.nextTick(90), undefined);
});

test('an id queued again after a cancellation has its new deadline', t => {
	const admission = createAdmission();
	fill(admission, [entry('1'), entry('2', {deadline: 50})]);
	t.is(admission.cancel('2'), CancelResult.Dequeued);
	fill(admission, [entry('2', {deadline: 500})], 1);
	t.deepEqual(admission.tick(60).refuse, []);
	t.is(admission.nextTick(60), 500);
});

test('pause returns the queue and drains', t => {
	const admission = createAdmission();
	fill(admission, [entry('1'), entry('2')]);
	t.deepEqual(admission.pause().map(refusal => [refusal.entry.id, refusal.error]), [['2', ErrorKind.NotSteward]]);
	t.deepEqual(fill(admission, [entry('3')]), [ErrorKind.NotSteward]);
	t.false(admission.isDrained(0));
	t.is(admission.cancel('1'), CancelResult.InFlight);
	t.deepEqual(ids(admission.finish('1', answered, 1)), []);
	t.true(admission.isDrained(1));
	admission.resume();
	t.deepEqual(fill(admission, [entry('4')], 1), [AdmissionKind.Start]);
});

test('the pause grows with each consecutive refusal', t => {
	const admission = createAdmission();
	fill(admission, [entry('1'), entry('2'), entry('3')]);
	t.deepEqual(ids(admission.finish('1', {outcome: OrderOutcome.Shed}, 10)), []);
	t.is(admission.nextTick(10), 20);
	t.deepEqual(ids(admission.tick(20)), ['2']);
	t.deepEqual(ids(admission.finish('2', {outcome: OrderOutcome.Shed}, 30)), []);
	t.is(admission.nextTick(30), 50);
	t.deepEqual(ids(admission.tick(50)), ['3']);
});

/** Runs batches of requests for 10 ms each until the given time, so that the limit reaches all slots. */
function warm(admission: TargetAdmission, until: number): void {
	for (let now = 0; now < until; now += 10) {
		const batch = [...'abcd'].map(name => entry(`${name}${now}`, {deadline: now + 1000}));
		fill(admission, batch, now);
		for (const {id} of batch) {
			admission.finish(id, answered, now + 10);
		}
	}
}

for (const [age, limit] of [[70, 4], [90, 2]] as const) {
	test(`limit after a timeout of a request that ran for ${age} ms instead of 10`, t => {
		const admission = createAdmission(4, 100);
		warm(admission, 1000);
		admission.offer(entry('last', {deadline: 1000 + age}), 1000);
		admission.finish('last', {outcome: OrderOutcome.TimedOut}, 1000 + age);
		t.is(admission.slowStart.limit, limit);
	});
}

for (const outcome of [OrderOutcome.Cancelled, OrderOutcome.TimedOut, OrderOutcome.Lost]) {
	test(`a slot becomes free only when the target has stopped the request: ${outcome}`, t => {
		const admission = createAdmission();
		fill(admission, [entry('1'), entry('2')]);
		t.deepEqual(ids(admission.finish('1', {outcome}, 10)), []);
		t.is(admission.nextTick(10), 60);
		t.deepEqual(ids(admission.tick(59)), []);
		t.deepEqual(ids(admission.tick(60)), ['2']);
	});
}

const operation = fc.record({
	kind: fc.constantFrom('offer', 'offer', 'offer', 'finish', 'cancel', 'tick', 'pause', 'resume', 'lost'),
	pick: fc.nat(30),
	caller: fc.constantFrom('a', 'b', 'c'),
	repeat: fc.constantFrom(Repeat.Once, Repeat.Idempotent),
	outcome: fc.constantFrom(...Object.values(OrderOutcome)),
	timeLeft: fc.integer({min: 0, max: 300}),
	elapsed: fc.nat(20),
});

type Operation = typeof operation extends fc.Arbitrary<infer T> ? T : never;

/** Applies operations to an admission and records how each entry ended. */
class Model {
	readonly admission = createAdmission(3, 6);
	readonly ends = new Map<string, string[]>();
	readonly inFlight = new Set<string>();
	/** Times until which abandoned orders may still run at the target. */
	readonly aborting: number[] = [];
	now = 0;
	private count = 0;

	run(op: Operation): void {
		this.now += op.elapsed;
		switch (op.kind) {
			case 'offer': {
				this.offer(op);
				break;
			}

			case 'finish': {
				const id = [...this.inFlight][op.pick % Math.max(1, this.inFlight.size)] ?? 'none';
				if (this.inFlight.delete(id) && [OrderOutcome.Cancelled, OrderOutcome.TimedOut, OrderOutcome.Lost].includes(op.outcome)) {
					this.aborting.push(this.now + 50);
				}

				this.apply(this.admission.finish(id, {outcome: op.outcome}, this.now));
				break;
			}

			case 'cancel': {
				const id = String(op.pick % Math.max(1, this.count));
				this.end(id, this.admission.cancel(id) === CancelResult.Dequeued ? 'cancelled' : undefined);
				break;
			}

			case 'pause': {
				this.apply({start: [], refuse: this.admission.pause()});
				break;
			}

			case 'resume': {
				this.admission.resume();
				break;
			}

			case 'lost': {
				this.admission.handleTargetLost(this.now);
				break;
			}

			case 'tick': {
				this.apply(this.admission.tick(this.now));
				break;
			}
		}
	}

	apply(decision: AdmissionDecision): void {
		for (const item of decision.start) {
			this.inFlight.add(item.id);
			this.end(item.id, 'started');
		}

		for (const refusal of decision.refuse) {
			this.end(refusal.entry.id, 'refused');
		}
	}

	private offer(op: Operation): void {
		const id = String(this.count);
		this.count += 1;
		this.ends.set(id, []);
		const item = entry(id, {caller: op.caller, repeat: op.repeat, deadline: this.now + op.timeLeft});
		const result = this.admission.offer(item, this.now);
		if (result.kind === AdmissionKind.Start) {
			this.apply({start: [item], refuse: []});
		} else if (result.kind === AdmissionKind.Refused) {
			this.end(id, 'refused');
		}
	}

	private end(id: string, how: string | undefined): void {
		if (how !== undefined) {
			this.ends.get(id)?.push(how);
		}
	}
}

test('the slots are never exceeded, and each entry ends exactly once', t => {
	fc.assert(fc.property(fc.array(operation, {maxLength: 200}), ops => {
		const model = new Model();
		for (const op of ops) {
			model.run(op);
			const aborting = model.aborting.filter(until => until > model.now);
			t.true(model.inFlight.size + aborting.length <= 3);
			t.is(model.admission.inFlight, model.inFlight.size);
			t.true(model.admission.queued <= 6);
		}

		model.apply(model.admission.tick(model.now + 1000));
		model.apply({start: [], refuse: model.admission.pause()});
		t.true([...model.ends.values()].every(how => how.length === 1));
	}), {seed: 5, numRuns: 300});
});

test('a waiting caller is served within one round of the others', t => {
	fc.assert(fc.property(fc.array(fc.constantFrom('a', 'b', 'c'), {minLength: 5, maxLength: 40}), callers => {
		const admission = createAdmission(1, 1000);
		const waiting = new Map<string, number>();
		for (const [i, caller] of callers.entries()) {
			admission.offer(entry(String(i), {caller, deadline: 1e6}), 0);
			waiting.set(caller, (waiting.get(caller) ?? 0) + (i === 0 ? 0 : 1));
		}

		const gaps = new Map<string, number>();
		for (let id: string | undefined = '0'; id !== undefined;) {
			const [next]: readonly QueueEntry[] = admission.finish(id, answered, 0).start;
			for (const [caller, left] of waiting) {
				const gap = caller === next?.caller ? 0 : (gaps.get(caller) ?? 0) + 1;
				gaps.set(caller, left > 0 ? gap : 0);
				t.true((gaps.get(caller) ?? 0) <= waiting.size);
			}

			waiting.set(next?.caller ?? '', (waiting.get(next?.caller ?? '') ?? 0) - 1);
			id = next?.id;
		}
	}), {seed: 5});
});
