/**
 * An open connection between two instances may fall silent for good while new ones work. A request that must run once and
 * was sent on it can't be sent again unless the other instance certainly did not receive it: without asking, its caller is
 * told that it may have run, and can't try it again either.
 */
import {once} from 'node:events';
import {
	connect, createServer, type AddressInfo, type Socket,
} from 'node:net';
import {setTimeout as sleep} from 'node:timers/promises';
import test, {type ExecutionContext} from 'ava';
import {systemClock} from '@bluebellyard/core';
import {noBytes} from './frames.js';
import {LinkError} from './link-error.js';
import {PeerNet} from './peer-net.js';

/** Forwards connections, and can keep what is sent on the present ones. */
class SilentProxy {
	addr = '';
	private readonly server;
	private readonly connections: Array<{readonly client: Socket; readonly target: Socket}> = [];
	private readonly kept: Array<() => void> = [];
	private silent = new Set<Socket>();

	constructor(targetPort: number) {
		this.server = createServer(client => {
			const target = connect(targetPort, '127.0.0.1');
			this.connections.push({client, target});
			this.forward(client, target);
			this.forward(target, client);
		});
	}

	async start(): Promise<void> {
		this.server.listen(0, '127.0.0.1');
		await once(this.server, 'listening');
		this.addr = `127.0.0.1:${(this.server.address() as AddressInfo).port}`;
	}

	/** Silences the open connections: calls do not arrive, or with `repliesOnly` only the replies do not. */
	silence(repliesOnly = false): void {
		this.silent = new Set(this.connections.flatMap(({client, target}) => repliesOnly ? [target] : [client, target]));
	}

	/** Delivers what was kept. */
	deliver(): void {
		for (const write of this.kept.splice(0)) {
			write();
		}
	}

	stop(): void {
		this.server.close();
		for (const {client, target} of this.connections) {
			client.destroy();
			target.destroy();
		}
	}

	private forward(from: Socket, to: Socket): void {
		from.on('error', () => undefined);
		from.on('data', data => {
			if (this.silent.has(from)) {
				this.kept.push(() => {
					to.write(data);
				});
			} else {
				to.write(data);
			}
		});
		from.on('close', () => {
			if (!this.silent.has(from)) {
				to.destroy();
			}
		});
	}
}

async function setUp(t: ExecutionContext): Promise<{net: PeerNet; proxy: SilentProxy; received: string[]; server: PeerNet}> {
	const received: string[] = [];
	const server = new PeerNet(async (_op, {value}) => {
		received.push(String(value));
		return {value, bytes: noBytes};
	}, systemClock);
	const proxy = new SilentProxy(await server.start('127.0.0.1', 0));
	await proxy.start();
	const net = new PeerNet(async () => ({value: undefined, bytes: noBytes}), systemClock);
	t.teardown(() => {
		net.close();
		server.close();
		proxy.stop();
	});
	t.is(await net.call(proxy.addr, 'echo', 'first'), 'first');
	return {
		net, proxy, received, server,
	};
}

async function findError(call: Promise<unknown>): Promise<LinkError> {
	try {
		await call;
	} catch (err) {
		if (err instanceof LinkError) {
			return err;
		}
	}

	throw new Error('the call did not fail with a LinkError');
}

test('a call that was lost on a silent link was not received, and never is', async t => {
	const {net, proxy, received} = await setUp(t);
	proxy.silence();
	const err = await findError(net.call(proxy.addr, 'echo', 'lost'));
	t.true(err.isSent);
	t.false(await err.wasReceived());
	proxy.deliver();
	await sleep(100);
	t.deepEqual(received, ['first']);
	t.is(await net.call(proxy.addr, 'echo', 'next'), 'next');
});

test('a call whose reply was lost on a silent link was received', async t => {
	const {net, proxy, received} = await setUp(t);
	proxy.silence(true);
	const err = await findError(net.call(proxy.addr, 'echo', 'received'));
	t.true(await err.wasReceived());
	t.deepEqual(received, ['first', 'received']);
});

test('calls before and after the last one received on a lost link are told apart', async t => {
	const {net, proxy, received} = await setUp(t);
	proxy.silence(true);
	const before = findError(net.call(proxy.addr, 'echo', 'before'));
	await sleep(100);
	proxy.silence();
	const after = findError(net.call(proxy.addr, 'echo', 'after'));
	const [beforeErr, afterErr] = await Promise.all([before, after]);
	t.true(await beforeErr.wasReceived());
	t.false(await afterErr.wasReceived());
	t.deepEqual(received, ['first', 'before']);
});

test('a call counts as received if the other side can not be asked', async t => {
	const {net, proxy, server} = await setUp(t);
	proxy.silence();
	const lost = findError(net.call(proxy.addr, 'echo', 'lost'));
	server.close();
	const err = await lost;
	t.true(await err.wasReceived());
});
