import {connect} from 'node:net';
import {setTimeout as sleep} from 'node:timers/promises';
import {ErrorKind, RequestError, systemClock} from '@bluebellyard/core';
import test, {type ExecutionContext} from 'ava';
import {MemoryCounters} from '../metrics/index.js';
import {FakeRouter} from '../mocks/fake-router.js';
import {ephemeralAddress, testLimits} from '../mocks/limits.js';
import {CallerServer} from './caller-server.js';

const chunk = `400\r\n${'a'.repeat(1024)}\r\n`;

async function startServer(t: ExecutionContext): Promise<number> {
	const server = new CallerServer({
		router: new FakeRouter(async () => {
			throw new RequestError(ErrorKind.NoOwner);
		}), limits: testLimits, counters: new MemoryCounters(), now: () => systemClock.now(), isReady: () => true,
	});
	const addr = await server.start(ephemeralAddress);
	t.teardown(async () => server.stop());
	return Number(addr.split(':')[1]);
}

/** Sends a request with a body of `chunks` chunks and reads only after that; resolves to what is received until the connection is closed. */
async function sendBeforeReading(t: ExecutionContext, port: number, requestId: string, chunks: number): Promise<string> {
	const socket = connect(port, '127.0.0.1');
	let received = '';
	t.teardown(() => {
		socket.destroy();
	});
	socket.on('error', () => undefined);
	const closed = new Promise(resolve => {
		socket.once('close', resolve);
	});
	socket.pause();
	socket.on('data', data => {
		received += data.toString();
	});
	socket.write(`GET /k HTTP/1.1\r\nHost: a.example\r\nIdempotency-Key: ${requestId}\r\nTransfer-Encoding: chunked\r\n\r\n`);
	for (let i = 0; i < chunks && !socket.destroyed; i += 1) {
		socket.write(chunk);
		// eslint-disable-next-line no-await-in-loop
		await sleep(10);
	}

	socket.write('0\r\n\r\n');
	socket.resume();
	await closed;
	return received;
}

test('a refusal reaches a caller that sends its whole body before it reads', async t => {
	const port = await startServer(t);
	t.regex(await sendBeforeReading(t, port, 'a'.repeat(300), 10), /^HTTP\/1.1 400 .*x-outcome: not-run/sv);
});

test('a refusal reaches a caller whose body is larger than the limit', async t => {
	const port = await startServer(t);
	const chunks = Math.ceil(testLimits.body / 1024);
	t.regex(await sendBeforeReading(t, port, 'a', chunks + 10), /^HTTP\/1.1 413 .*x-outcome: not-run/sv);
});
