/** Guards against answers in small chunks that hold up other work of the process, and against ones that are not whole as their receipt was paused. */
import {Buffer} from 'node:buffer';
import type {Socket} from 'node:net';
import test, {type ExecutionContext} from 'ava';
import {startRawTarget} from './mocks/index.js';
import {requestWhole} from './request-whole.js';
import {TrackedClient} from './tracked-client.js';

async function startClient(t: ExecutionContext, answer: (socket: Socket) => void): Promise<TrackedClient> {
	const {addr} = await startRawTarget(t, answer);
	const client = new TrackedClient(`http://${addr}`, {});
	t.teardown(async () => client.destroy());
	return client;
}

async function request(client: TrackedClient): Promise<Buffer> {
	const {body} = await requestWhole(client, {
		method: 'GET', path: '/', signal: new AbortController().signal, onProgress() {
			// The answer has no deadline.
		},
	});
	return body;
}

const chunks = 200_000;

test('other work goes on while an answer in chunks of one byte arrives', async t => {
	const client = await startClient(t, socket => {
		socket.write(`HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n${'1\r\n.\r\n'.repeat(chunks)}0\r\n\r\n`);
	});
	let turns = 0;
	let next: NodeJS.Immediate | undefined;
	const countTurn = () => {
		turns += 1;
		next = setImmediate(countTurn);
	};

	countTurn();
	const body = await request(client);
	clearImmediate(next);
	t.is(body.length, chunks);
	t.true(turns >= chunks / 1024, `${turns}`);
});

for (const [name, lines, isClosed] of [['kept', '', false], ['closed', 'Connection: close\r\n', true]] as const) {
	for (const count of [1023, 1024, 1025, 2048, 10_000]) {
		test(`an answer of ${count} chunks is whole, and its connection ${name}`, async t => {
			const client = await startClient(t, socket => {
				socket.write(`HTTP/1.1 200 OK\r\n${lines}Transfer-Encoding: chunked\r\n\r\n${'1\r\n.\r\n'.repeat(count)}0\r\n\r\n`);
				if (isClosed) {
					socket.end();
				}
			});
			for (let i = 0; i < 2; i += 1) {
				// eslint-disable-next-line no-await-in-loop
				t.deepEqual(await request(client), Buffer.alloc(count, '.'));
			}
		});
	}
}
