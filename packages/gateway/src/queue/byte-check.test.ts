import {createServer, type AddressInfo, type Socket} from 'node:net';
import test, {type ExecutionContext} from 'ava';
import {receivesByte} from './byte-check.js';

/** Listens until the test has ended. Resolves to the address. */
async function listen(t: ExecutionContext, onConnection: (socket: Socket) => void): Promise<string> {
	const sockets = new Set<Socket>();
	const server = createServer(socket => {
		sockets.add(socket);
		socket.on('error', () => undefined);
		onConnection(socket);
	});
	t.teardown(() => {
		server.close();
		for (const socket of sockets) {
			socket.destroy();
		}
	});
	await new Promise<void>(resolve => {
		server.listen(0, '127.0.0.1', resolve);
	});
	return `127.0.0.1:${(server.address() as AddressInfo).port}`;
}

async function check(addr: string, timeoutMs: number): Promise<boolean> {
	return receivesByte({
		addr, localAddress: undefined, path: '/health', timeoutMs,
	});
}

test('any byte counts as an answer', async t => {
	const addr = await listen(t, socket => {
		socket.once('data', data => {
			t.true(data.toString().startsWith('GET /health HTTP/1.1\r\n'));
			socket.write('H');
		});
	});
	t.true(await check(addr, 5000));
});

// An opened connection alone shows no path: a middlebox may accept it, hold it or close it.
test('connections that are accepted and never answered, or closed, are no answer', async t => {
	t.false(await check(await listen(t, () => undefined), 100));
	t.false(await check(await listen(t, socket => {
		socket.end();
	}), 5000));
	t.false(await check(await listen(t, socket => {
		socket.resetAndDestroy();
	}), 5000));
	t.false(await check('127.0.0.1:1', 5000));
});
