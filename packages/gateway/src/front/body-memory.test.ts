/**
 * Guards against a process that ends at its heap limit: a caller chooses the size of the chunks of its request, and an
 * object that is kept for each of them takes over a hundred times the byte that it holds.
 */
import {once} from 'node:events';
import {connect} from 'node:net';
import {Worker} from 'node:worker_threads';
import test from 'ava';

/** Largest heap of the worker, in megabytes: far below what an object a chunk takes. */
const heapMb = 48;

test('a request body in chunks of one byte does not fill the heap', async t => {
	const worker = new Worker(new URL('../mocks/small-heap-server.js', import.meta.url), {resourceLimits: {maxOldGenerationSizeMb: heapMb}});
	const [port] = await once(worker, 'message') as [number];
	const socket = connect(port, '127.0.0.1');
	socket.on('error', () => undefined);
	socket.write('POST / HTTP/1.1\r\nHost: a.example\r\nId: r1\r\nTransfer-Encoding: chunked\r\n\r\n');
	const bodyBytes = 1_000_000;
	const chunks = '1\r\n.\r\n'.repeat(1000);
	for (let sent = 0; sent < bodyBytes; sent += 1000) {
		if (!socket.write(chunks)) {
			// eslint-disable-next-line no-await-in-loop
			await Promise.race([once(socket, 'drain'), once(worker, 'error')]);
		}
	}

	socket.write('0\r\n\r\n');
	const [length] = await once(worker, 'message') as [number];
	t.is(length, bodyBytes);
	socket.destroy();
	await worker.terminate();
});
