import {Buffer} from 'node:buffer';
import {createServer, type Socket} from 'node:net';
import test from 'ava';
import {systemClock} from '@bluebellyard/core';
import {encodeFrame, FrameReader} from './frames.js';
import {LinkError} from './peer-link.js';
import {PeerNet} from './peer-net.js';

test('frames survive any cut of the stream', t => {
	const messages = [{a: 1}, {b: Buffer.from('x')}, {c: 'y'.repeat(5000)}];
	const bytes = Buffer.concat(messages.map(message => encodeFrame(message)));
	for (const size of [1, 3, 7, bytes.length]) {
		const reader = new FrameReader();
		const read: unknown[] = [];
		for (let at = 0; at < bytes.length; at += size) {
			read.push(...reader.push(bytes.subarray(at, at + size)));
		}

		t.is(read.length, 3);
		t.deepEqual(read[2], messages[2]);
	}
});

test('bytes that are no frames are refused', t => {
	t.throws(() => new FrameReader().push(Buffer.from('GET / HTTP/1.1\r\n\r\n')));
});

async function pair(handler: ConstructorParameters<typeof PeerNet>[0]): Promise<{net: PeerNet; addr: string; close: () => void}> {
	const server = new PeerNet(handler, systemClock);
	const port = await server.start('127.0.0.1', 0);
	const net = new PeerNet(async () => undefined, systemClock);
	return {
		net,
		addr: `127.0.0.1:${port}`,
		close() {
			net.close();
			server.close();
		},
	};
}

test('calls are answered, many at a time', async t => {
	const {net, addr, close} = await pair(async (op, body) => `${op} ${String(body)}`);
	const answers = await Promise.all([1, 2, 3].map(async n => net.call(addr, 'echo', n)));
	t.deepEqual(answers, ['echo 1', 'echo 2', 'echo 3']);
	close();
});

test('a caller that gives up cancels the work', async t => {
	const work = new Promise<AbortSignal>(resolve => {
		t.context = resolve;
	});
	const {net, addr, close} = await pair(async (_op, _body, signal) => new Promise(() => {
		(t.context as (signal: AbortSignal) => void)(signal);
	}));
	const giveUp = new AbortController();
	const call = net.call(addr, 'wait', 0, giveUp.signal);
	const signal = await work;
	const isCancelled = new Promise<void>(resolve => {
		signal.addEventListener('abort', () => {
			resolve();
		});
	});
	giveUp.abort();
	await t.throwsAsync(call, {instanceOf: LinkError});
	await t.notThrowsAsync(isCancelled);
	close();
});

test('a call that is given up as it arrives is not run', async t => {
	let runs = 0;
	const {net, addr, close} = await pair(async () => {
		runs += 1;
	});
	await net.call(addr, 'first', 0);
	const giveUp = new AbortController();
	const call = net.call(addr, 'second', 0, giveUp.signal);
	queueMicrotask(() => {
		giveUp.abort();
	});
	await t.throwsAsync(call, {instanceOf: LinkError});
	await net.call(addr, 'third', 0);
	t.is(runs, 2);
	close();
});

test('a refused connection proves that nothing was sent', async t => {
	const net = new PeerNet(async () => undefined, systemClock);
	const err = await t.throwsAsync(async () => net.call('127.0.0.1:1', 'x', 0), {instanceOf: LinkError});
	t.false(err?.isSent);
	t.true(net.isUnreachable('127.0.0.1:1'));
	net.close();
});

test('a link that falls silent is given up, and may have carried the call', async t => {
	const sockets: Socket[] = [];
	const silent = createServer(socket => {
		sockets.push(socket);
		socket.resume();
	});
	await new Promise<void>(resolve => {
		silent.listen(0, '127.0.0.1', resolve);
	});
	const addr = silent.address();
	const port = typeof addr === 'object' && addr !== null ? addr.port : 0;
	const net = new PeerNet(async () => undefined, systemClock);
	const err = await t.throwsAsync(async () => net.call(`127.0.0.1:${port}`, 'x', 0), {instanceOf: LinkError});
	t.true(err?.isSent);
	net.close();
	for (const socket of sockets) {
		socket.destroy();
	}

	silent.close();
});
