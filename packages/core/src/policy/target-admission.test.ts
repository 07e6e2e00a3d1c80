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

function gate(slots = 1, queue = 8): TargetAdmission {
	return new TargetAdmission({slots, queue, callerShare: 0.5});
}

function fill(target: TargetAdmission, entries: QueueEntry[], now = 0): unknown[] {
	return entries.map(item => {
		const admission = target.offer(item, now);
		return admission.kind === AdmissionKind.Refused ? admission.error : admission.kind;
	});
}

function ids(step: AdmissionDecision): string[] {
	return step.start.map(item => item.id);
}

test('starts up to the limit, then queues', t => {
	t.deepEqual(fill(gate(), [entry('1'), entry('2')]), [AdmissionKind.Start, AdmissionKind.Queued]);
});

test('one caller gets its share of the queue', t => {
	const target = gate(1, 4);
	const kinds = fill(target, [...'12345'].map(id => entry(id)));
	t.deepEqual(kinds.slice(3), [ErrorKind.CallerShare, ErrorKind.CallerShare]);
	t.deepEqual(fill(target, [entry('6', {caller: 'b'})]), [AdmissionKind.Queued]);
});

test('a full queue has a reserve for work admitted before', t => {
	const target = gate(1, 2);
	fill(target, [entry('1'), entry('2'), entry('3', {caller: 'b'})]);
	t.deepEqual(fill(target, [entry('4', {caller: 'c'})]), [ErrorKind.QueueFull]);
	t.deepEqual(fill(target, [entry('5', {caller: 'c', admitted: true})]), [AdmissionKind.Queued]);
});

test('callers take turns', t => {
	const target = gate(1, 8);
	fill(target, [entry('a1'), entry('a2'), entry('a3'), entry('b1', {caller: 'b'})]);
	t.deepEqual(ids(target.finish('a1', answered, 1)), ['a2']);
	t.deepEqual(ids(target.finish('a2', answered, 2)), ['b1']);
});

test('admitted non-idempotent work goes first, but not for ever', t => {
	const target = gate(1, 20);
	const once = [...'12345'].map(id => entry(id, {repeat: Repeat.Once}));
	fill(target, [entry('0'), entry('x'), ...once]);
	const order = ['0', '1', '2', '3', 'x'].map((id, now) => ids(target.finish(id, answered, now)));
	t.deepEqual(order.flat(), ['1', '2', '3', 'x', '4']);
});

test('refuses at once what would wait too long', t => {
	const target = gate(1, 100);
	fill(target, [entry('1')]);
	target.finish('1', answered, 100);
	fill(target, [entry('2'), entry('3')], 100);
	t.deepEqual(fill(target, [entry('4', {deadline: 350})], 100), [ErrorKind.DeadlineTooClose]);
	t.deepEqual(fill(target, [entry('5', {deadline: 450})], 100), [AdmissionKind.Queued]);
	t.deepEqual(fill(target, [entry('6', {deadline: 100})], 100), [ErrorKind.DeadlinePassed]);
});

test('one slow first answer does not shut an idle target', t => {
	const target = gate(2, 100);
	fill(target, [entry('1', {deadline: 5000})]);
	target.finish('1', answered, 2000);
	t.is(target.load(2000).serviceMs, 0, 'one sample says nothing');
	t.deepEqual(fill(target, [entry('2', {deadline: 3000})], 2000), [AdmissionKind.Start]);
});

test('a target known to be slow is tried again when it is idle', t => {
	const target = gate(1, 100);
	for (let i = 0; i < 20; i += 1) {
		fill(target, [entry(String(i), {deadline: 1e6})], i * 2000);
		target.finish(String(i), answered, (i + 1) * 2000);
	}

	t.is(target.load(40_000).serviceMs, 2000);
	t.is(target.load(42_000).serviceMs, 0, 'an old figure is none');
	t.deepEqual(fill(target, [entry('a', {deadline: 40_500})], 40_000), [AdmissionKind.Start]);
	t.deepEqual(fill(target, [entry('b', {deadline: 40_500})], 40_000), [ErrorKind.DeadlineTooClose]);
});

test('a stuck request counts in the expected wait', t => {
	const target = gate(1, 100);
	fill(target, [entry('1')]);
	target.finish('1', answered, 10);
	fill(target, [entry('2')], 10);
	t.deepEqual(fill(target, [entry('3', {deadline: 600})], 500), [ErrorKind.DeadlineTooClose]);
});

test('a queued entry expires when it can no longer be answered', t => {
	const target = gate();
	for (let now = 0; now < 40; now += 10) {
		fill(target, [entry(`a${now}`)], now);
		target.finish(`a${now}`, answered, now + 10);
	}

	fill(target, [entry('2'), entry('3', {deadline: 100})], 40);
	t.is(target.nextTick(60), 90);
	t.deepEqual(target.tick(89).refuse, []);
	t.deepEqual(target.tick(90).refuse.map(refusal => refusal.error), [ErrorKind.DeadlinePassed]);
	t.is(target.nextTick(90), undefined);
});

test('an id that comes back after its cancellation keeps its new deadline', t => {
	const target = gate();
	fill(target, [entry('1'), entry('2', {deadline: 50})]);
	t.is(target.cancel('2'), CancelResult.Dequeued);
	fill(target, [entry('2', {deadline: 500})], 1);
	t.deepEqual(target.tick(60).refuse, []);
	t.is(target.nextTick(60), 500);
});

test('pause hands the queue back and drains', t => {
	const target = gate();
	fill(target, [entry('1'), entry('2')]);
	t.deepEqual(target.pause().map(refusal => [refusal.entry.id, refusal.error]), [['2', ErrorKind.NotSteward]]);
	t.deepEqual(fill(target, [entry('3')]), [ErrorKind.NotSteward]);
	t.false(target.isDrained(0));
	t.is(target.cancel('1'), CancelResult.InFlight);
	t.deepEqual(ids(target.finish('1', answered, 1)), []);
	t.true(target.isDrained(1));
	target.resume();
	t.deepEqual(fill(target, [entry('4')], 1), [AdmissionKind.Start]);
});

test('waits longer after each refusal in a row', t => {
	const target = gate();
	fill(target, [entry('1'), entry('2'), entry('3')]);
	t.deepEqual(ids(target.finish('1', {outcome: OrderOutcome.Shed}, 10)), []);
	t.is(target.nextTick(10), 20);
	t.deepEqual(ids(target.tick(20)), ['2']);
	t.deepEqual(ids(target.finish('2', {outcome: OrderOutcome.Shed}, 30)), []);
	t.is(target.nextTick(30), 50);
	t.deepEqual(ids(target.tick(50)), ['3']);
});

/** Runs one request after the other, each for 10 ms, until all slots may be used. */
function warm(target: TargetAdmission, until: number): void {
	for (let now = 0; now < until; now += 10) {
		const batch = [...'abcd'].map(name => entry(`${name}${now}`, {deadline: now + 1000}));
		fill(target, batch, now);
		for (const {id} of batch) {
			target.finish(id, answered, now + 10);
		}
	}
}

for (const [age, limit] of [[70, 4], [90, 2]] as const) {
	test(`limit after a timeout of a request that ran ${age} ms instead of 10`, t => {
		const target = gate(4, 100);
		warm(target, 1000);
		target.offer(entry('last', {deadline: 1000 + age}), 1000);
		target.finish('last', {outcome: OrderOutcome.TimedOut}, 1000 + age);
		t.is(target.slowStart.limit, limit);
	});
}

for (const ending of [OrderOutcome.Cancelled, OrderOutcome.TimedOut, OrderOutcome.Lost]) {
	test(`a slot is free only when the target has learned of the end: ${ending}`, t => {
		const target = gate();
		fill(target, [entry('1'), entry('2')]);
		t.deepEqual(ids(target.finish('1', {outcome: ending}, 10)), []);
		t.is(target.nextTick(10), 60);
		t.deepEqual(ids(target.tick(59)), []);
		t.deepEqual(ids(target.tick(60)), ['2']);
	});
}

const operation = fc.record({
	kind: fc.constantFrom('offer', 'offer', 'offer', 'finish', 'cancel', 'tick', 'pause', 'resume', 'lost'),
	pick: fc.nat(30),
	caller: fc.constantFrom('a', 'b', 'c'),
	repeat: fc.constantFrom(Repeat.Once, Repeat.Idempotent),
	ending: fc.constantFrom(...Object.values(OrderOutcome)),
	patience: fc.integer({min: 0, max: 300}),
	elapsed: fc.nat(20),
});

type Operation = typeof operation extends fc.Arbitrary<infer T> ? T : never;

/** Runs operations against a gate and records how each entry ended. */
class Model {
	readonly target = gate(3, 6);
	readonly ends = new Map<string, string[]>();
	readonly inFlight = new Set<string>();
	/** Times until which given-up orders may still run at the target. */
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
				if (this.inFlight.delete(id) && [OrderOutcome.Cancelled, OrderOutcome.TimedOut, OrderOutcome.Lost].includes(op.ending)) {
					this.aborting.push(this.now + 50);
				}

				this.apply(this.target.finish(id, {outcome: op.ending}, this.now));
				break;
			}

			case 'cancel': {
				const id = String(op.pick % Math.max(1, this.count));
				this.end(id, this.target.cancel(id) === CancelResult.Dequeued ? 'cancelled' : undefined);
				break;
			}

			case 'pause': {
				this.apply({start: [], refuse: this.target.pause()});
				break;
			}

			case 'resume': {
				this.target.resume();
				break;
			}

			case 'lost': {
				this.target.handleTargetLost(this.now);
				break;
			}

			case 'tick': {
				this.apply(this.target.tick(this.now));
				break;
			}
		}
	}

	apply(step: AdmissionDecision): void {
		for (const item of step.start) {
			this.inFlight.add(item.id);
			this.end(item.id, 'started');
		}

		for (const refusal of step.refuse) {
			this.end(refusal.entry.id, 'refused');
		}
	}

	private offer(op: Operation): void {
		const id = String(this.count);
		this.count += 1;
		this.ends.set(id, []);
		const item = entry(id, {caller: op.caller, repeat: op.repeat, deadline: this.now + op.patience});
		const admission = this.target.offer(item, this.now);
		if (admission.kind === AdmissionKind.Start) {
			this.apply({start: [item], refuse: []});
		} else if (admission.kind === AdmissionKind.Refused) {
			this.end(id, 'refused');
		}
	}

	private end(id: string, how: string | undefined): void {
		if (how !== undefined) {
			this.ends.get(id)?.push(how);
		}
	}
}

test('never above the slots, and each entry ends exactly once', t => {
	fc.assert(fc.property(fc.array(operation, {maxLength: 200}), ops => {
		const model = new Model();
		for (const op of ops) {
			model.run(op);
			const aborting = model.aborting.filter(until => until > model.now);
			t.true(model.inFlight.size + aborting.length <= 3);
			t.is(model.target.inFlight, model.inFlight.size);
			t.true(model.target.queued <= 6);
		}

		model.apply(model.target.tick(model.now + 1000));
		model.apply({start: [], refuse: model.target.pause()});
		t.true([...model.ends.values()].every(how => how.length === 1));
	}), {seed: 5, numRuns: 300});
});

test('a caller that waits is served within one round of the others', t => {
	fc.assert(fc.property(fc.array(fc.constantFrom('a', 'b', 'c'), {minLength: 5, maxLength: 40}), callers => {
		const target = gate(1, 1000);
		const waiting = new Map<string, number>();
		for (const [i, caller] of callers.entries()) {
			target.offer(entry(String(i), {caller, deadline: 1e6}), 0);
			waiting.set(caller, (waiting.get(caller) ?? 0) + (i === 0 ? 0 : 1));
		}

		const gaps = new Map<string, number>();
		for (let id: string | undefined = '0'; id !== undefined;) {
			const [next]: readonly QueueEntry[] = target.finish(id, answered, 0).start;
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
