import {Buffer} from 'node:buffer';
import {randomBytes} from 'node:crypto';
import {createServer, type Socket} from 'node:net';
import {setTimeout as sleep} from 'node:timers/promises';
import test from 'ava';
import {systemClock} from '@bluebellyard/core';
import type {CancelSignal} from '../net/index.js';
import {FrameReader, FrameWriter, type Message} from './frames.js';
import type {LinkState} from './call-handler.js';
import {LinkError} from './link-error.js';
import {PeerNet} from './peer-net.js';

for (const isCompressed of [false, true]) {
	test(`frames are decoded from chunks of any size${isCompressed ? ', compressed' : ''}`, t => {
		const messages: Message[] = [
			{value: {a: 1}, bytes: Buffer.from('x')},
			{value: 'again', bytes: Buffer.from('text '.repeat(400))},
			{value: {c: 'y'.repeat(5000)}, bytes: randomBytes(3000)},
			{value: 'again', bytes: Buffer.alloc(0)},
		];
		const writer = new FrameWriter();
		writer.isCompressed = isCompressed;
		const bytes = Buffer.concat(messages.flatMap(message => writer.encode(message)));
		for (const size of [1, 3, 7, bytes.length]) {
			const reader = new FrameReader();
			const read: Message[] = [];
			for (let at = 0; at < bytes.length; at += size) {
				read.push(...reader.push(bytes.subarray(at, at + size)));
			}

			t.deepEqual(read, messages);
		}
	});
}

// Compressing a body of many megabytes holds up all other work of the process, and decompressing it that of the other one.
for (const [bytes, isSmaller] of [[1_000_000, true], [2_000_000, false], [32_000_000, false]] as const) {
	test(`a body of ${bytes} bytes is ${isSmaller ? 'compressed' : 'sent as it is'}`, t => {
		const writer = new FrameWriter();
		writer.isCompressed = true;
		const message = {value: 'a', bytes: Buffer.alloc(bytes, 'text ')};
		const frame = Buffer.concat(writer.encode(message));
		t.is(frame.length < bytes, isSmaller, `${frame.length}`);
		const [read] = new FrameReader().push(frame);
		t.is(read.value, 'a');
		t.true(read.bytes.equals(message.bytes));
	});
}

/** Returns a request as an instance forwards it. */
function createRequestMessage(n: number): Message {
	const id = randomBytes(8).toString('hex');
	return {
		value: {
			k: 1, n, op: 'work', b: {
				desk: 'target:i-67024b1103@1771781415237', id, m: 'GET', p: `/6rgrdiph/${id.slice(6)}`, rt: 'r-ethk3xi', s: 'jeye97a', k: n * 37, h: [
					['Host', 'defi52.example'], ['User-Agent', 'sdk-client/1.9.3'], ['Accept', '*/*'], ['Accept-Encoding', 'identity'], ['Connection', 'close'],
				],
			},
		}, bytes: Buffer.alloc(0),
	};
}

test('compression reduces heads to less than a third', t => {
	const [plain, compressed] = [new FrameWriter(), new FrameWriter()];
	compressed.isCompressed = true;
	let [plainBytes, bytes] = [0, 0];
	for (let n = 0; n < 50; n += 1) {
		const message = createRequestMessage(n);
		plainBytes += Buffer.concat(plain.encode(message)).length;
		bytes += Buffer.concat(compressed.encode(message)).length;
	}

	t.true(bytes < plainBytes / 3, `${bytes} of ${plainBytes} bytes`);
});

test('bytes that are not a frame are rejected', t => {
	t.throws(() => new FrameReader().push(Buffer.from('GET / HTTP/1.1\r\n\r\n')));
});

function reply(value: unknown): Message {
	return {value, bytes: Buffer.alloc(0)};
}

async function pair(handler: ConstructorParameters<typeof PeerNet>[0]): Promise<{net: PeerNet; addr: string; close: () => void}> {
	const server = new PeerNet(handler, systemClock);
	const port = await server.start('127.0.0.1', 0);
	const net = new PeerNet(async () => reply(undefined), systemClock);
	return {
		net,
		addr: `127.0.0.1:${port}`,
		close() {
			net.close();
			server.close();
		},
	};
}

test('concurrent calls are answered', async t => {
	const {net, addr, close} = await pair(async (op, {value}) => reply(`${op} ${String(value)}`));
	const answers = await Promise.all([1, 2, 3].map(async n => net.call(addr, 'echo', n)));
	t.deepEqual(answers, ['echo 1', 'echo 2', 'echo 3']);
	close();
});

test('aborting a call aborts its handler', async t => {
	const work = new Promise<CancelSignal>(resolve => {
		t.context = resolve;
	});
	const {net, addr, close} = await pair(async (_op, _body, signal) => new Promise(() => {
		(t.context as (signal: CancelSignal) => void)(signal);
	}));
	const abort = new AbortController();
	const call = net.call(addr, 'wait', 0, {signal: abort.signal});
	const signal = await work;
	const isCancelled = new Promise<void>(resolve => {
		signal.addEventListener('abort', () => {
			resolve();
		});
	});
	abort.abort();
	await t.throwsAsync(call, {instanceOf: LinkError});
	await t.notThrowsAsync(isCancelled);
	close();
});

// A permit outlives the call that it answered.
test('the loss of a link is told after its calls have been answered', async t => {
	let losses = 0;
	const link = new Promise<LinkState>(resolve => {
		t.context = resolve;
	});
	const {net, addr, close} = await pair(async (_op, _body, _signal, state) => {
		(t.context as (state: LinkState) => void)(state);
		state.whenDown(() => {
			losses += 1;
		});
		state.whenDown(() => {
			losses += 100;
		})();
		return reply('done');
	});
	await net.call(addr, 'permit', 0);
	t.is(losses, 0);
	net.close();
	const state = await link;
	await new Promise<void>(resolve => {
		state.whenDown(resolve);
	});
	t.is(losses, 1);
	state.whenDown(() => {
		losses += 1;
	});
	t.is(losses, 2);
	close();
});

test('a call that is aborted as it arrives is not run', async t => {
	let runs = 0;
	const {net, addr, close} = await pair(async () => {
		runs += 1;
		return reply(runs);
	});
	await net.call(addr, 'first', 0);
	const abort = new AbortController();
	const call = net.call(addr, 'second', 0, {signal: abort.signal});
	queueMicrotask(() => {
		abort.abort();
	});
	await t.throwsAsync(call, {instanceOf: LinkError});
	await net.call(addr, 'third', 0);
	t.is(runs, 2);
	close();
});

test('after a refused connection the call counts as unsent', async t => {
	const net = new PeerNet(async () => reply(undefined), systemClock);
	const err = await t.throwsAsync(async () => net.call('127.0.0.1:1', 'x', 0), {instanceOf: LinkError});
	t.false(err?.isSent);
	t.true(net.isUnreachable('127.0.0.1:1'));
	net.close();
});

/** Blocks the event loop for a time in milliseconds, as a machine that is short of CPU time does. */
function block(ms: number): void {
	Atomics.wait(new Int32Array(new SharedArrayBuffer(4)), 0, 0, ms);
}

// An instance that is short of CPU time closed the links to all others, so that the requests on them had an unknown outcome.
test('time for which this process stood still is no silence of the other side', async t => {
	const {net, addr, close} = await pair(async () => {
		await sleep(150);
		return reply('answer');
	});
	await net.call(addr, 'first', 0);
	const call = net.call(addr, 'second', 0);
	await sleep(50);
	block(1200);
	t.is(await call, 'answer');
	close();
});

test('a link without received data is closed and its call counts as sent', async t => {
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
	const net = new PeerNet(async () => reply(undefined), systemClock);
	const err = await t.throwsAsync(async () => net.call(`127.0.0.1:${port}`, 'x', 0), {instanceOf: LinkError});
	t.true(err?.isSent);
	net.close();
	for (const socket of sockets) {
		socket.destroy();
	}

	silent.close();
});
