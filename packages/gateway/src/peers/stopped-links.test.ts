/**
 * A link that was closed at once at the end of a stop lost the replies that were not sent yet, and calls that the stopped
 * instance had not read counted as received, so that requests that must run once were not sent elsewhere.
 */
import {Buffer} from 'node:buffer';
import {once} from 'node:events';
import {
	connect, createServer, type AddressInfo, type Socket,
} from 'node:net';
import {setTimeout as sleep} from 'node:timers/promises';
import test, {type ExecutionContext} from 'ava';
import {systemClock} from '@bluebellyard/core';
import {noBytes, type Message} from './frames.js';
import {LinkError} from './link-error.js';
import {PeerNet} from './peer-net.js';

/** Size of a reply that exceeds the buffers of a connection, in bytes. */
const largeBytes = 16 * 1024 * 1024;

/** Longest time for the end of the links, in milliseconds. */
const stopMs = 10_000;

/** Returns a promise with the function that resolves it. */
function defer<T>(): {promise: Promise<T>; resolve: (value: T) => void} {
	let resolve: (value: T) => void = () => undefined;
	const promise = new Promise<T>(done => {
		resolve = done;
	});
	return {promise, resolve};
}

/** A slow path to a port: forwards small parts with a delay after each, and what comes back after a pause. */
async function startSlowPath(t: ExecutionContext, port: number, pauseMs = 0): Promise<string> {
	const sockets: Socket[] = [];
	const forwardSlowly = async (from: Socket, to: Socket, delayMs: number) => {
		await sleep(delayMs);
		for await (const part of from) {
			to.write(part as Buffer);
			await sleep(2);
		}

		to.end();
	};

	const server = createServer(client => {
		const target = connect(port, '127.0.0.1');
		sockets.push(client, target);
		forwardSlowly(client, target, 0).catch(() => {
			target.destroy();
		});
		forwardSlowly(target, client, pauseMs).catch(() => {
			client.destroy();
		});
	});
	server.listen(0, '127.0.0.1');
	await once(server, 'listening');
	t.teardown(() => {
		server.close();
		for (const socket of sockets) {
			socket.destroy();
		}
	});
	return `127.0.0.1:${(server.address() as AddressInfo).port}`;
}

async function setUp(t: ExecutionContext, handler: ConstructorParameters<typeof PeerNet>[0]): Promise<{server: PeerNet; net: PeerNet; port: number}> {
	const server = new PeerNet(handler, systemClock);
	const net = new PeerNet(async () => ({value: undefined, bytes: noBytes}), systemClock);
	t.teardown(() => {
		net.close();
		server.close();
	});
	return {server, net, port: await server.start('127.0.0.1', 0)};
}

for (const {title, pauseMs} of [
	{title: 'a large reply on a slow link is not cut by a stop', pauseMs: 0},
	{title: 'a probe that arrives after the stop does not cut a reply', pauseMs: 500},
]) {
	test(title, async t => {
		const replied = defer<void>();
		const {server, net, port} = await setUp(t, async () => {
			setImmediate(replied.resolve);
			return {value: 'large', bytes: Buffer.alloc(largeBytes)};
		});
		const addr = await startSlowPath(t, port, pauseMs);
		const call = net.exchange(addr, 'run', {value: 1, bytes: noBytes});
		await replied.promise;
		const stopped = server.stop(stopMs);
		const {bytes} = await call;
		t.is(bytes.length, largeBytes);
		await stopped;
	});
}

test('a call that runs when the stop begins is answered', async t => {
	const reply = defer<Message>();
	const begun = defer<void>();
	const {server, net, port} = await setUp(t, async () => {
		begun.resolve();
		return reply.promise;
	});
	const call = net.call(`127.0.0.1:${port}`, 'run', 1);
	await begun.promise;
	const stopped = server.stop(stopMs);
	await sleep(50);
	reply.resolve({value: 'answer', bytes: noBytes});
	t.is(await call, 'answer');
	await stopped;
});

test('a call that arrives after the stop began is unsent and does not run', async t => {
	const reply = defer<Message>();
	const begun = defer<void>();
	const received: unknown[] = [];
	const {server, net, port} = await setUp(t, async (_op, {value}) => {
		received.push(value);
		begun.resolve();
		return reply.promise;
	});
	const addr = `127.0.0.1:${port}`;
	const first = net.call(addr, 'run', 'first');
	await begun.promise;
	const stopped = server.stop(stopMs);
	const late = await t.throwsAsync(net.call(addr, 'run', 'late'), {instanceOf: LinkError});
	t.false(late?.isSent);
	const next = await t.throwsAsync(net.call(addr, 'run', 'next'), {instanceOf: LinkError});
	t.false(next?.isSent);
	reply.resolve({value: 'answer', bytes: noBytes});
	t.is(await first, 'answer');
	await stopped;
	t.deepEqual(received, ['first']);
});

test('a call without a reply ends with the stop and counts as received', async t => {
	const begun = defer<void>();
	const {server, net, port} = await setUp(t, async () => {
		begun.resolve();
		return new Promise(() => {
			// Never answered.
		});
	});
	const call = net.call(`127.0.0.1:${port}`, 'run', 1);
	await begun.promise;
	const err = t.throwsAsync(call, {instanceOf: LinkError});
	await server.stop(200);
	const lost = await err;
	t.true(await lost?.wasReceived());
});
