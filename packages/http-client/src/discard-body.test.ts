/** Guards against connections that are closed as the process was busy, and against bodies that are read for ever. */
import {request, type IncomingMessage} from 'node:http';
import {Worker} from 'node:worker_threads';
import test, {type ExecutionContext} from 'ava';
import {discardBody} from './discard-body.js';

/** Worker that answers with a body in three parts, 100 ms apart. It posts its port. */
const serverScript = `
const {parentPort} = require('node:worker_threads');
const server = require('node:http').createServer((req, res) => {
	res.write('{');
	setTimeout(() => res.write(' '), 100);
	setTimeout(() => res.end('}'), 200);
});
server.listen(0, '127.0.0.1', () => parentPort.postMessage(server.address().port));
`;

async function receiveHead(t: ExecutionContext): Promise<IncomingMessage> {
	const worker = new Worker(serverScript, {eval: true});
	t.teardown(async () => {
		await worker.terminate();
	});
	const port = await new Promise<number>(resolve => {
		worker.once('message', resolve);
	});
	return new Promise(resolve => {
		request({host: '127.0.0.1', port, agent: false}, resolve).on('error', () => undefined).end();
	});
}

test.serial('a body that has ended while the process was busy has ended in time', async t => {
	const res = await receiveHead(t);
	const isEnded = discardBody(res, {maxBytes: 1000, timeoutMs: 300});
	// Blocks this thread for longer than the timeout.
	Atomics.wait(new Int32Array(new SharedArrayBuffer(4)), 0, 0, 600);
	t.true(await isEnded);
});

test.serial('a body that has not ended in time closes the connection', async t => {
	const res = await receiveHead(t);
	t.false(await discardBody(res, {maxBytes: 1000, timeoutMs: 20}));
	t.true(res.socket.destroyed);
});

test.serial('a body of more bytes closes the connection', async t => {
	const res = await receiveHead(t);
	t.false(await discardBody(res, {maxBytes: 0, timeoutMs: 10_000}));
	t.true(res.socket.destroyed);
});
