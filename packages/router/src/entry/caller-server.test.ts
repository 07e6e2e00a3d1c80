import {
	answerTable, ErrorKind, RequestError, systemClock,
} from '@bluebellyard/core';
import test, {type ExecutionContext} from 'ava';
import {Client, request} from 'undici';
import {MemoryCounters, refusalCounterName} from '../metrics/index.js';
import {FakeRouter} from '../mocks/fake-router.js';
import {ephemeralAddress, testLimits} from '../mocks/limits.js';
import {makeAnswer} from '../mocks/orders.js';
import type {Answer, Order} from '../work/index.js';
import {CallerServer} from './caller-server.js';
import {Forwarder} from './forwarder.js';
import {InternalServer} from './internal-server.js';

const now = () => systemClock.now();

/** Refuses connections. The port of a stopped server may be given to another one. */
const refusingAddr = '127.0.0.1:1';

async function startServer(t: ExecutionContext, run: (order: Order) => Promise<Answer>, isReady = true) {
	const counters = new MemoryCounters();
	const server = new CallerServer({
		router: new FakeRouter(run), limits: testLimits, counters, now, isReady: () => isReady,
	});
	const addr = await server.start(ephemeralAddress);
	t.teardown(async () => server.stop());
	return {addr, counters, server};
}

/** Starts another instance as the steward; returns a function that forwards an order to it. */
async function startSteward(t: ExecutionContext, handle: (order: Order) => Promise<Answer>) {
	const steward = new InternalServer({
		stewardExecutor: {
			handle: async (_target, order) => handle(order),
			load: () => undefined,
		}, limits: testLimits, tls: undefined, now,
	});
	const forwarder = new Forwarder(undefined, now);
	const addr = await steward.start(ephemeralAddress);
	t.teardown(async () => {
		await forwarder.close();
		await steward.stop();
	});
	return async (order: Order) => {
		const {answer} = await forwarder.forward(addr, 't', order);
		return answer;
	};
}

async function assertRefusal(t: ExecutionContext, addr: string, kind: ErrorKind): Promise<void> {
	const res = await request(`http://${addr}/k`);
	const row = answerTable[kind];
	t.is(res.statusCode, row.status, kind);
	t.is(res.headers['x-reason'], kind);
	t.is(res.headers['x-outcome'], row.outcome, kind);
	t.is(res.headers['retry-after'], row.retryAfter === undefined ? undefined : String(row.retryAfter), kind);
	t.like(await res.body.json(), {error: kind, outcome: row.outcome});
}

/** A caller that has disconnected gets no answer. */
const answeredKinds = Object.values(ErrorKind).filter(kind => kind !== ErrorKind.CallerDisconnected && kind !== ErrorKind.CallerDisconnectedBeforeSend);

test('a refusal has the status and headers of the answer table', async t => {
	let kind = ErrorKind.NoOwner;
	const {addr, counters} = await startServer(t, async () => {
		throw new RequestError(kind);
	});
	for (kind of answeredKinds) {
		// eslint-disable-next-line no-await-in-loop
		await assertRefusal(t, addr, kind);
		t.is(counters.value(refusalCounterName(kind)), 1);
	}
});

test('a refusal forwarded from a steward has the status and headers of the answer table', async t => {
	let kind = ErrorKind.NoOwner;
	const forward = await startSteward(t, async () => {
		throw new RequestError(kind);
	});
	const {addr} = await startServer(t, forward);
	for (kind of answeredKinds) {
		// eslint-disable-next-line no-await-in-loop
		await assertRefusal(t, addr, kind);
	}
});

test('an instance without state refuses with retry-after', async t => {
	const {addr} = await startServer(t, async () => t.fail(), false);
	await assertRefusal(t, addr, ErrorKind.NotReady);
});

test('an unreachable steward leads to a refusal with retry-after', async t => {
	const forwarder = new Forwarder(undefined, now);
	t.teardown(async () => forwarder.close());
	const {addr} = await startServer(t, async order => {
		const {answer} = await forwarder.forward(refusingAddr, 't', order);
		return answer;
	});
	await assertRefusal(t, addr, ErrorKind.StewardUnreachable);
});

test('internal headers sent by a caller are dropped', async t => {
	let seen: Order | undefined;
	const forward = await startSteward(t, async order => {
		seen = order;
		return {...makeAnswer('whole'), headers: {'x-fence': '7', 'x-bby-load': '1', 'x-own': 'a'}};
	});
	const {addr} = await startServer(t, forward);
	const forged = ['x-fence', 'x-pool', 'x-shard', 'x-order-id', 'x-deadline', 'x-bby-once', 'x-bby-shard', 'x-bby-request', 'x-bby-caller'];
	const headers = Object.fromEntries(forged.map(name => [name, '9']));
	const res = await request(`http://${addr}/k`, {headers: {...headers, 'x-caller': 'c', accept: 'text/plain'}});
	t.is(await res.body.text(), 'whole');
	t.is(res.headers['x-own'], 'a');
	t.is(res.headers['x-fence'], undefined);
	t.is(res.headers['x-bby-load'], undefined);
	t.like(seen, {
		shard: 0, pool: 'p', caller: 'c', requestId: '',
	});
	t.is(seen?.headers.accept, 'text/plain');
	t.deepEqual(forged.filter(name => seen?.headers[name] !== undefined), []);
});

// Idle connections were closed at once, so a request that was on its way then was cut off.
test('a request on a kept connection after the start of a stop is answered, and the connection is closed then', async t => {
	const {addr, server} = await startServer(t, async () => makeAnswer('done'));
	const client = new Client(`http://${addr}`, {pipelining: 1});
	t.teardown(async () => client.destroy());
	const before = await client.request({method: 'GET', path: '/k'});
	t.is(before.headers.connection, 'keep-alive');
	await before.body.text();
	server.beginStop();
	const after = await client.request({method: 'GET', path: '/k'});
	t.is(after.statusCode, 200);
	t.is(after.headers.connection, 'close');
	await after.body.text();
	await t.throwsAsync(client.request({method: 'GET', path: '/k'}), {code: 'ECONNREFUSED'});
	await server.drain();
});
