import {Buffer} from 'node:buffer';
import {once} from 'node:events';
import {connect, type Socket} from 'node:net';
import {setImmediate as nextTurn, setTimeout as sleep} from 'node:timers/promises';
import {Worker} from 'node:worker_threads';
import test, {type ExecutionContext} from 'ava';
import {ErrorKind, systemClock} from '@bluebellyard/core';
import {AnswerFraming} from '@bluebellyard/http-client';
import {failure, type OrderResult} from '../dispatch/index.js';
import {createConfiguredView, PlainWire} from '../mocks/index.js';
import {TeamAdmission} from '../teams/index.js';
import {Telemetry} from '../telemetry/index.js';
import {CallerServer} from './caller-server.js';

const largeBodyBytes = 24_000_000;

/** Time in which connections that are closed at once are closed, in milliseconds. */
const closeMs = 1500;

/** Time after which the server closes an idle connection, in milliseconds: that of the configuration, the slack of the server and that of Node.js. */
const idleTimeoutMs = 3000;

/** Worker script: sends a request, and on the same connection another one when it is told to; stores the status of the second answer, -1 if the connection ends without one. */
const caller = `
const {workerData: {port, flag}} = require('node:worker_threads');
const {connect} = require('node:net');
const store = value => {
	Atomics.store(flag, 0, value);
	Atomics.notify(flag, 0);
};
const send = (id, done) => socket.write(\`GET / HTTP/1.1\\r\\nHost: a.example\\r\\nId: \${id}\\r\\n\\r\\n\`, done);
const socket = connect(port, '127.0.0.1', () => send('r1'));
let status = -1;
socket.once('data', () => {
	store(1);
	Atomics.wait(flag, 0, 1);
	socket.on('data', data => {
		status = Number(data.toString().slice(9, 12));
		socket.end();
	});
	send('r2', () => store(3));
});
socket.on('error', () => undefined);
socket.on('close', () => store(status));
`;

/** Worker script: opens connections, counts the requests sent on them in `flag`, and posts how many were answered. */
const newCallers = `
const {parentPort, workerData: {port, count, flag}} = require('node:worker_threads');
const {connect} = require('node:net');
let answered = 0;
let closed = 0;
for (let n = 0; n < count; n += 1) {
	const socket = connect(port, '127.0.0.1', () => {
		socket.write(\`GET / HTTP/1.1\\r\\nHost: a.example\\r\\nId: n\${n}\\r\\n\\r\\n\`, () => {
			Atomics.add(flag, 0, 1);
			Atomics.notify(flag, 0);
		});
	});
	socket.on('data', () => {
		answered += 1;
	});
	socket.on('error', () => undefined);
	socket.on('close', () => {
		closed += 1;
		if (closed === count) {
			parentPort.postMessage(answered);
		}
	});
}
`;

/** Starts a server whose dispatcher answers paths that begin with /large with a large body, and others with a small one. */
async function startServer(t: ExecutionContext): Promise<{readonly server: CallerServer; readonly port: number}> {
	const view = createConfiguredView();
	const telemetry = new Telemetry(systemClock);
	const server = new CallerServer({
		view, wire: new PlainWire(), admission: new TeamAdmission({view, metrics: telemetry.metrics}), clock: systemClock, telemetry, dispatcher: {
			async run({path}): Promise<OrderResult> {
				return path === '/fail'
					? failure(ErrorKind.NoTarget, {})
					: {
						kind: 'answer', target: 't', waitMs: 0, answer: {
							status: 200, headers: [], body: Buffer.alloc(path.startsWith('/large') ? largeBodyBytes : 1), framing: AnswerFraming.Length,
						},
					};
			},
		}, onKeyedRequest() {
			// The service is not sharded.
		},
	});
	t.teardown(() => {
		server.close();
	});
	return {server, port: await server.start('127.0.0.1', 0)};
}

async function openConnection(t: ExecutionContext, port: number): Promise<Socket> {
	const socket = connect(port, '127.0.0.1');
	socket.on('error', () => undefined);
	t.teardown(() => {
		socket.destroy();
	});
	await once(socket, 'connect');
	return socket;
}

function sendRequest(socket: Socket, path: string): void {
	socket.write(`GET ${path} HTTP/1.1\r\nHost: a.example\r\nId: r${path}\r\n\r\n`);
}

async function isClosed(socket: Socket): Promise<boolean> {
	socket.resume();
	return socket.destroyed || Promise.race([once(socket, 'close').then(() => true), sleep(closeMs, false)]);
}

test('a connection that was not used is closed with the idle ones', async t => {
	const {server, port} = await startServer(t);
	const unused = await openConnection(t, port);
	await sleep(100);
	await server.closeIdle();
	t.true(await isClosed(unused));
});

test('idle connections are closed while an answer on another one is read slowly', async t => {
	const {server, port} = await startServer(t);
	const reader = await openConnection(t, port);
	reader.pause();
	sendRequest(reader, '/large');
	const idle = await openConnection(t, port);
	sendRequest(idle, '/');
	await once(idle, 'data');
	await sleep(100);
	await server.closeIdle();
	t.true(await isClosed(idle));
	t.is(server.inFlight, 1);
});

/** Starts a caller whose first request is answered; resolves to the function that blocks this thread until the second one is sent, and for `blockMs` at least, as if the process were short of processor time. */
async function startBlockingCaller(port: number): Promise<{readonly block: (blockMs: number) => void; readonly status: Promise<number>}> {
	const flag = new Int32Array(new SharedArrayBuffer(4));
	const worker = new Worker(caller, {eval: true, workerData: {port, flag}});
	const status = once(worker, 'exit').then(() => Atomics.load(flag, 0));
	while (Atomics.load(flag, 0) !== 1) {
		// eslint-disable-next-line no-await-in-loop
		await sleep(10);
	}

	return {
		status, block(blockMs) {
			const pause = new Int32Array(new SharedArrayBuffer(4));
			Atomics.store(flag, 0, 2);
			Atomics.notify(flag, 0);
			Atomics.wait(flag, 0, 2, 5000);
			Atomics.wait(pause, 0, 0, blockMs);
		},
	};
}

test('a request that waits to be read is answered before its connection is closed as idle', async t => {
	const {server, port} = await startServer(t);
	const {block, status} = await startBlockingCaller(port);
	await sleep(100);
	block(0);
	await server.closeIdle();
	t.is(await status, 200);
});

test('requests on connections that wait to be accepted are answered before the port is closed', async t => {
	const {server, port} = await startServer(t);
	const flag = new Int32Array(new SharedArrayBuffer(4));
	const worker = new Worker(newCallers, {eval: true, workerData: {port, count: 10, flag}});
	await once(worker, 'online');
	await nextTurn();
	// Blocks this thread until all requests are sent.
	while (Atomics.load(flag, 0) < 10) {
		Atomics.wait(flag, 0, Atomics.load(flag, 0), 100);
	}

	// The callers may have all answers before the port is closed.
	const posted = once(worker, 'message');
	await server.closeIdle();
	const [answered] = await posted as [number];
	t.is(answered, 10);
});

test('a request that waits to be read is answered although the idle timeout of its connection has passed', async t => {
	const {port} = await startServer(t);
	const {block, status} = await startBlockingCaller(port);
	await sleep(idleTimeoutMs - 300);
	await nextTurn();
	block(600);
	t.is(await status, 200);
});

test('a connection on which part of a request has arrived is not idle', async t => {
	const {server, port} = await startServer(t);
	server.beginStop();
	const socket = await openConnection(t, port);
	socket.write('GET / HTTP/1.1\r\nHost: a.exa');
	await sleep(100);
	await server.closeIdle();
	await sleep(100);
	socket.write('mple\r\nId: r1\r\n\r\n');
	const [answer] = await once(socket, 'data') as [Buffer];
	t.regex(answer.toString(), /^HTTP\/1.1 200 /v);
	t.true(await isClosed(socket));
});
