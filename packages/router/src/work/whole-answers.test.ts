/** Guards against answers that look whole to callers and are not: bytes behind the answer, or a part of it. */
import type {Socket} from 'node:net';
import {setTimeout as sleep} from 'node:timers/promises';
import {
	ErrorKind, Outcome, RequestError, systemClock,
} from '@bluebellyard/core';
import {startRawTarget} from '@bluebellyard/http-client/mocks';
import test, {type ExecutionContext} from 'ava';
import {makeOrder} from '../mocks/orders.js';
import type {Answer} from './order.js';
import {TargetClient} from './target-client.js';

const head = 'HTTP/1.1 200 OK\r\nServer: t\r\n';

async function writeLater(socket: Socket, parts: readonly string[]): Promise<void> {
	for (const part of parts) {
		socket.write(part);
		// eslint-disable-next-line no-await-in-loop
		await sleep(30);
	}
}

async function end(socket: Socket, ...parts: readonly string[]): Promise<void> {
	await writeLater(socket, parts);
	socket.end();
}

async function reset(socket: Socket, ...parts: readonly string[]): Promise<void> {
	await writeLater(socket, parts);
	socket.resetAndDestroy();
}

/** Sends an order to a target that answers it in the given way; `id` is the line with the id of the order. */
async function exchangeWith(t: ExecutionContext, answer: (socket: Socket, id: string) => Promise<void>, method = 'GET'): Promise<Answer> {
	const target = await startRawTarget(t, (socket, _number, request) => {
		void answer(socket, `${/x-order-id: \S+/v.exec(request)?.[0] ?? ''}\r\n`);
	});
	const client = new TargetClient(target.addr, 1);
	t.teardown(async () => client.close());
	return client.send(makeOrder({method, deadline: systemClock.now() + 5000}), undefined, 5000, () => undefined);
}

const unverified: ReadonlyArray<readonly [name: string, answer: (socket: Socket, id: string) => Promise<void>]> = [
	['reset in the middle', async (socket, id) => reset(socket, `${head}${id}\r\nhalf`)],
	['identity, reset in the middle', async (socket, id) => reset(socket, `${head}${id}Transfer-Encoding: identity\r\n\r\nhalf`)],
	['answered twice', async (socket, id) => end(socket, `${head}${id}\r\nbody`, `${head}${id}\r\nbody`)],
	['answered twice, the second time with a length', async (socket, id) => end(socket, `${head}${id}\r\nbody`, `${head}${id}Content-Length: 4\r\n\r\nbody`)],
	['answered twice without an id', async socket => end(socket, `${head}\r\nbody`, `${head}\r\nbody`)],
	['a transfer coding that is not decoded', async socket => end(socket, `${head}Transfer-Encoding: gzip, chunked\r\n\r\n4\r\nbody\r\n0\r\n\r\n`)],
];

for (const [name, answer] of unverified) {
	test(`not whole: ${name}`, async t => {
		const err = await t.throwsAsync(exchangeWith(t, answer), {instanceOf: RequestError});
		t.is(err.kind, ErrorKind.TruncatedAnswer);
		t.is(err.answer.outcome, Outcome.Unknown);
	});
}

// The connection stays open, so that only the status tells that this is no answer.
for (const status of ['000', '099', '20', '1000']) {
	test(`not an answer: status ${status}`, async t => {
		const err = await t.throwsAsync(exchangeWith(t, async (socket, id) => {
			socket.write(`HTTP/1.1 ${status} Status\r\n${id}Content-Length: 4\r\n\r\nbody`);
		}), {instanceOf: RequestError});
		t.is(err.answer.outcome, Outcome.Unknown);
		t.not(err.kind, ErrorKind.TargetTimeout);
	});
}

const quoted = 'GET / HTTP/1.1\r\nServer: t\r\n\r\nHTTP/1.1 200 OK\r\nServer: other\r\n\r\n';

const whole: ReadonlyArray<readonly [name: string, body: string, answer: (socket: Socket, id: string) => Promise<void>]> = [
	['without a length', 'body', async (socket, id) => end(socket, `${head}${id}\r\nbody`)],
	['quotes HTTP', quoted, async (socket, id) => end(socket, `${head}${id}\r\n${quoted}`)],
	['quotes HTTP, without an id', quoted, async socket => end(socket, `${head}\r\n${quoted}`)],
];

for (const [name, body, answer] of whole) {
	test(`whole: ${name}`, async t => {
		const received = await exchangeWith(t, answer);
		t.is(received.body.toString(), body);
	});
}

test('an order that is sent again gets a connection of its own', async t => {
	const target = await startRawTarget(t, (socket, number) => {
		void writeLater(socket, [`HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\n${number}`]);
	});
	const client = new TargetClient(target.addr, 1);
	t.teardown(async () => client.close());
	const order = makeOrder({deadline: systemClock.now() + 5000});
	for (const [sent, connections] of [[order, 1], [makeOrder(), 1], [order, 2]] as const) {
		// eslint-disable-next-line no-await-in-loop
		await client.send(sent, undefined, 5000, () => undefined);
		t.is(target.connections(), connections);
	}
});
