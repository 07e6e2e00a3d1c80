import type {Socket} from 'node:net';
import {
	ErrorKind, Outcome, RequestError, systemClock, type Permit,
} from '@bluebellyard/core';
import test, {type ExecutionContext} from 'ava';
import {makeOrder} from '../mocks/orders.js';
import {formatRawAnswer, startRawTarget, type RawTarget} from '../mocks/raw-target.js';
import type {Answer, Order} from './order.js';
import {TargetClient} from './target-client.js';
import {TargetExecutor, type TargetExecutorOptions} from './target-executor.js';

const now = () => systemClock.now();
const longMs = 60_000;
const shortMs = 1500;

function makePermit(changes: Partial<Permit> = {}): Permit {
	return {
		fence: 42, tenure: 2, until: now() + longMs, targetUntil: 5000, targetNow: 1000, ...changes,
	};
}

function makeWork(t: ExecutionContext, addr: string, changes: Partial<TargetExecutorOptions> = {}): TargetExecutor {
	const link = new TargetClient(addr, 2);
	const work = new TargetExecutor({
		target: 't', client: link, slots: 2, queue: 4, isKeyed: true, isFenced: true, now, requestPermit: () => makePermit(), maySendUnkeyed: () => true, ...changes,
	});
	t.teardown(async () => {
		work.close();
		await link.close();
	});
	return work;
}

function orderFor(changes: Partial<Order> = {}): Order {
	return makeOrder({deadline: now() + longMs, ...changes});
}

async function fails(t: ExecutionContext, answer: Promise<Answer>, kind: ErrorKind, outcome: Outcome): Promise<void> {
	const err = await t.throwsAsync(answer, {instanceOf: RequestError});
	t.is(err.kind, kind);
	t.is(err.answer.outcome, outcome);
}

/** A promise with its resolver. */
function waiter<T>() {
	let resolve!: (value: T) => void;
	const promise = new Promise<T>(done => {
		resolve = done;
	});
	return {promise, resolve};
}

async function startWork(t: ExecutionContext, answer: (socket: Socket, number: number) => void, changes: Partial<TargetExecutorOptions> = {}) {
	const target: RawTarget = await startRawTarget(t, answer);
	return {target, work: makeWork(t, target.addr, changes)};
}

test('an order whose permit ends at the last moment is sent with no byte', async t => {
	let asked = 0;
	const {target, work} = await startWork(t, () => t.fail(), {
		requestPermit() {
			asked += 1;
			return asked === 1 ? makePermit() : undefined;
		},
	});
	await fails(t, work.submit(orderFor()), ErrorKind.NotEntitled, Outcome.NotRun);
	t.is(asked, 2);
	t.is(target.connections(), 1);
	t.is(target.received(), '');
});

test('an order without a key to a target of another steward is sent with no byte', async t => {
	const {target, work} = await startWork(t, () => t.fail(), {isKeyed: false, maySendUnkeyed: () => false});
	await fails(t, work.submit(orderFor({shard: -1})), ErrorKind.NotSteward, Outcome.NotRun);
	t.is(target.received(), '');
});

test('a target that is away did not run the order', async t => {
	const gone = await startRawTarget(t, () => t.fail());
	const work = makeWork(t, gone.addr.replace('127.0.0.1', '127.0.0.2'));
	await fails(t, work.submit(orderFor()), ErrorKind.ConnectFailed, Outcome.NotRun);
});

test('an order whose connection breaks may have run, and is sent once', async t => {
	const {target, work} = await startWork(t, socket => {
		socket.resetAndDestroy();
	});
	await fails(t, work.submit(orderFor()), ErrorKind.ConnectionLost, Outcome.Unknown);
	t.is(target.received().split('x-order-id').length, 2);
});

const partialAnswers: ReadonlyArray<readonly [name: string, bytes: string]> = [
	['a body shorter than its length', 'HTTP/1.1 200 OK\r\ncontent-length: 100\r\n\r\nshort'],
	['a chunked body without its end', 'HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n5\r\nshort\r\n'],
	['a head without a body', 'HTTP/1.1 200 OK\r\ncontent-length: 5\r\n\r\n'],
	['the answer to another order', formatRawAnswer('whole', ['x-order-id: other'])],
];

for (const [name, bytes] of partialAnswers) {
	test(`no success from ${name}`, async t => {
		const {work} = await startWork(t, socket => {
			socket.end(bytes);
		});
		await fails(t, work.submit(orderFor()), ErrorKind.TruncatedAnswer, Outcome.Unknown);
	});
}

const notRunAnswers: ReadonlyArray<readonly [word: string, status: number, kind: ErrorKind]> = [
	['shed', 503, ErrorKind.TargetShed],
	['fenced', 409, ErrorKind.TargetFenced],
	['late', 503, ErrorKind.TargetShed],
];

for (const [word, status, kind] of notRunAnswers) {
	test(`a target that says ${word} did not run the order`, async t => {
		const {work} = await startWork(t, socket => {
			socket.write(formatRawAnswer('no', [`x-not-run: ${word}`], status));
		});
		await fails(t, work.submit(orderFor()), kind, Outcome.NotRun);
	});
}

test('a late answer reaches nobody', async t => {
	const held = waiter<Socket>();
	const target = await startRawTarget(t, (socket, number) => {
		if (number === 2) {
			held.resolve(socket);
		} else {
			socket.write(formatRawAnswer('other'));
		}
	});
	const link = new TargetClient(target.addr, 2);
	t.teardown(async () => link.close());
	const send = async (timeoutMs: number) => link.send(orderFor(), makePermit(), timeoutMs, () => undefined);
	// The next order is written at once, for its connection is open.
	await send(longMs);
	await fails(t, send(shortMs), ErrorKind.TargetTimeout, Outcome.Unknown);
	const late = await held.promise;
	late.write(formatRawAnswer('late'));
	const answers = await Promise.all([send(longMs), send(longMs)]);
	t.deepEqual(answers.map(({body}) => String(body)), ['other', 'other']);
	t.is(target.received().split('x-order-id').length, 5);
});

test('an order of a caller that went away is cancelled at the target', async t => {
	const abort = new AbortController();
	const closed = waiter<boolean>();
	const {work} = await startWork(t, socket => {
		socket.once('close', closed.resolve);
		abort.abort();
	});
	await fails(t, work.submit(orderFor({signal: abort.signal})), ErrorKind.CallerGone, Outcome.Unknown);
	await closed.promise;
	t.is(work.admission.inFlight, 0);
});

test('an order to a target that checks no fences ends with the lease', async t => {
	const held = waiter<Socket>();
	let leaseMs = longMs;
	const {target, work} = await startWork(t, (socket, number) => {
		if (number === 1) {
			socket.write(formatRawAnswer('first'));
		} else {
			held.resolve(socket);
		}
	}, {isFenced: false, requestPermit: () => makePermit({until: now() + leaseMs})});
	await work.submit(orderFor());
	leaseMs = shortMs;
	await fails(t, work.submit(orderFor()), ErrorKind.TargetTimeout, Outcome.Unknown);
	await held.promise;
	const sent = target.received().split('x-timeout-ms: ').at(-1)!;
	t.true(Number.parseInt(sent, 10) <= shortMs);
	t.true(target.received().includes('x-deadline: '));
	const ends = target.received().split('x-deadline: ').slice(1).map(text => Number.parseFloat(text));
	t.true(ends.every(end => end <= makePermit().targetUntil));
});

test('a target sees no forged header and no header of the connection', async t => {
	const {target, work} = await startWork(t, socket => {
		socket.write(formatRawAnswer('whole', ['x-order-id: o1', 'x-own: a']));
	});
	const forged = {
		'x-fence': '1', 'x-pool': 'q', 'x-shard': '9', 'x-order-id': 'z', 'x-deadline': '9', 'x-bby-once': '1', 'x-not-run': 'shed', 'keep-alive': 'a', te: 'b', 'x-own': 'c',
	};
	const answer = await work.submit(orderFor({id: 'o1', headers: forged}));
	t.is(String(answer.body), 'whole');
	const lines = target.received().split('\r\n').map(line => line.toLowerCase()).filter(line => line.startsWith('x-'));
	const timeout = lines.find(line => line.startsWith('x-timeout-ms'));
	const deadline = lines.find(line => line.startsWith('x-deadline'));
	t.not(deadline, 'x-deadline: 9');
	t.deepEqual(lines.toSorted(), [deadline!, 'x-fence: 42', 'x-order-id: o1', 'x-own: c', 'x-pool: p', 'x-shard: 0', timeout!].toSorted());
	t.false(target.received().includes('keep-alive: a'));
});

test('work that waits is refused when its shard is handed over', async t => {
	const first = waiter<Socket>();
	const {work} = await startWork(t, socket => {
		first.resolve(socket);
	}, {slots: 1});
	const running = work.submit(orderFor());
	const waiting = work.submit(orderFor());
	const socket = await first.promise;
	const drained = work.drainShard(0);
	await fails(t, waiting, ErrorKind.NotSteward, Outcome.NotRun);
	await fails(t, work.submit(orderFor()), ErrorKind.NotSteward, Outcome.NotRun);
	socket.write(formatRawAnswer('whole'));
	const answer = await running;
	t.is(String(answer.body), 'whole');
	await drained;
	t.is(work.admission.inFlight, 0);
});
