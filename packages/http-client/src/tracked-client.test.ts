/** Guards against an end of the connection that is taken for the end of an answer. */
import type {Socket} from 'node:net';
import test, {type ExecutionContext} from 'ava';
import {buildConnector, type Dispatcher} from 'undici';
import {startRawTarget} from './mocks/index.js';
import {UnverifiedAnswerError} from './answer-handler.js';
import {requestWhole} from './request-whole.js';
import {createTrackedPool, TrackedClient} from './tracked-client.js';

const part = 'HTTP/1.1 200 OK\r\n\r\npart';

async function request(dispatcher: Dispatcher, onProgress: () => void = () => undefined) {
	return requestWhole(dispatcher, {
		method: 'GET', path: '/', signal: new AbortController().signal, onProgress,
	});
}

async function start(t: ExecutionContext, answer: (socket: Socket, number: number) => void): Promise<string> {
	const {addr} = await startRawTarget(t, answer);
	return `http://${addr}`;
}

for (const kind of ['client', 'pool'] as const) {
	const create = (origin: string) => kind === 'client' ? new TrackedClient(origin, {}) : createTrackedPool(origin, {connections: 1});

	test(`${kind}: an answer without a length is whole if its connection is closed, and none if it is reset`, async t => {
		const dispatcher = create(await start(t, (socket, number) => {
			socket.write(part, () => {
				if (number === 1) {
					socket.end();
				}
			});
			lastSocket = socket;
		}));
		let lastSocket: Socket | undefined;
		t.teardown(async () => dispatcher.destroy());
		const {body} = await request(dispatcher);
		t.is(body.toString(), 'part');
		const reset = request(dispatcher, () => {
			lastSocket?.resetAndDestroy();
		});
		await t.throwsAsync(reset, {instanceOf: UnverifiedAnswerError, message: /connection-lost/v});
	});
}

test('an end of the connection by this side ends no answer', async t => {
	const client = new TrackedClient(await start(t, socket => {
		socket.write(part);
	}), {});
	t.teardown(async () => client.destroy());
	let isFirst = true;
	await t.throwsAsync(request(client, () => {
		if (isFirst) {
			isFirst = false;
			setImmediate(() => {
				client.closeConnection();
			});
		}
	}));
});

test('a request that is aborted while its answer arrives is rejected', async t => {
	const client = new TrackedClient(await start(t, socket => {
		socket.write(part);
	}), {});
	t.teardown(async () => client.destroy());
	const abort = new AbortController();
	const answer = requestWhole(client, {
		method: 'GET', path: '/', signal: abort.signal, onProgress() {
			abort.abort(new Error('given up'));
		},
	});
	await t.throwsAsync(answer, {message: 'given up'});
});

// An answer without a length whose sender is killed in the middle ends in an orderly way, too. Only a refusal shows it.
for (const [code, isWhole] of [['ECONNREFUSED', false], ['ECONNRESET', true], ['UND_ERR_CONNECT_TIMEOUT', true]] as const) {
	test(`an answer without a length is ${isWhole ? 'whole' : 'none'} if another connection fails with ${code}`, async t => {
		const connector = buildConnector({});
		let connections = 0;
		const client = new TrackedClient(await start(t, socket => {
			socket.end(part);
		}), {
			connect(options, callback) {
				connections += 1;
				if (connections === 1) {
					connector(options, callback);
				} else {
					callback(Object.assign(new Error('not connected'), {code}), null);
				}
			},
		});
		t.teardown(async () => client.destroy());
		const answer = request(client);
		if (isWhole) {
			const {body} = await answer;
			t.is(body.toString(), 'part');
		} else {
			await t.throwsAsync(answer, {instanceOf: UnverifiedAnswerError, message: /sender-gone/v});
		}

		t.is(connections, 2);
	});
}

test('a reset right after an orderly end of the connection is no end of an answer', async t => {
	const reset = (socket: Socket) => {
		setTimeout(() => {
			socket.resetAndDestroy();
		}, 1);
	};

	const client = new TrackedClient(await start(t, socket => {
		socket.once('finish', () => {
			reset(socket);
		}).end(part);
	}), {});
	t.teardown(async () => client.destroy());
	await t.throwsAsync(request(client), {code: 'EPIPE'});
});
