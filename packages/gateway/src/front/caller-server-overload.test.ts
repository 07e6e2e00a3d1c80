import {once} from 'node:events';
import {connect, type Socket} from 'node:net';
import test, {type ExecutionContext} from 'ava';
import {ErrorKind, ManualClock, systemClock} from '@bluebellyard/core';
import {failure, type Dispatcher, type Order} from '../dispatch/index.js';
import {createConfiguredView, PlainWire} from '../mocks/index.js';
import {TeamAdmission} from '../teams/index.js';
import {Telemetry} from '../telemetry/index.js';
import {CallerServer, type CallerServerOptions} from './caller-server.js';

const rejection = {result: failure(ErrorKind.InstanceBusy, {retryAfterMs: 400}), hasReturned: false};

/** Starts a server that has no target. Returns a connection to it and the requests that it dispatched. */
async function start(t: ExecutionContext, overload: CallerServerOptions['overload']): Promise<{socket: Socket; orders: Order[]}> {
	const orders: Order[] = [];
	const dispatcher: Pick<Dispatcher, 'run'> = {
		async run(order: Order) {
			orders.push(order);
			return failure(ErrorKind.NoTarget, {});
		},
	};
	const view = createConfiguredView();
	const telemetry = new Telemetry(new ManualClock());
	const server = new CallerServer({
		view, wire: new PlainWire(), dispatcher, admission: new TeamAdmission({view, metrics: telemetry.metrics}), clock: systemClock, telemetry, overload, onKeyedRequest() {
			// The service is not sharded.
		},
	});
	const socket = connect(await server.start('127.0.0.1', 0), '127.0.0.1');
	t.teardown(() => {
		socket.destroy();
		server.close();
	});
	return {socket, orders};
}

/** Returns a check that rejects the first request only. */
function rejectFirst(): CallerServerOptions['overload'] {
	const rejections = [rejection];
	return {check: () => rejections.pop()};
}

function head(id: string, bodyBytes: number): string {
	return `POST / HTTP/1.1\r\nHost: a.example\r\nId: ${id}\r\nContent-Length: ${bodyBytes}\r\n\r\n`;
}

async function readAnswer(socket: Socket): Promise<string> {
	const [bytes] = await once(socket, 'data') as [Uint8Array];
	return new TextDecoder().decode(bytes);
}

// A target that ran a rejected request would break the promise of status 503.
test('a rejected request is answered before its body arrives and is not dispatched', async t => {
	const {socket, orders} = await start(t, rejectFirst());
	socket.write(head('a', 10));
	const answer = await readAnswer(socket);
	t.regex(answer, /^HTTP\/1\.1 503 /v);
	t.regex(answer, /retry-after: 0\.40\r\n/v);
	t.true(answer.includes('instance-busy'));
	t.deepEqual(orders, []);
});

// A new connection costs the instance more than the rest of a small body, while it is short of CPU time.
for (const [title, writes] of [
	['with its head', [head('a', 10) + '0123456789']],
	['after the answer', [head('a', 10), '0123456789']],
	['in part after the answer', [head('a', 10) + '0123', '456789']],
] as const) {
	test(`a rejected request keeps its connection when its small body arrives ${title}`, async t => {
		const {socket, orders} = await start(t, rejectFirst());
		socket.write(writes[0]);
		const answer = await readAnswer(socket);
		t.false(answer.toLowerCase().includes('connection: close'));
		for (const rest of writes.slice(1)) {
			socket.write(rest);
		}

		socket.write(head('b', 3) + 'xyz');
		const nextAnswer = await readAnswer(socket);
		t.true(nextAnswer.includes('no-target'));
		t.deepEqual(orders.map(({requestId, body}) => [requestId, body.toString()]), [['b', 'xyz']]);
	});
}

for (const [title, text] of [
	['a large body', head('a', 100_000)],
	['a body of unknown length', 'POST / HTTP/1.1\r\nHost: a.example\r\nTransfer-Encoding: chunked\r\n\r\n'],
]) {
	test(`a rejected request with ${title} closes its connection`, async t => {
		const {socket, orders} = await start(t, rejectFirst());
		socket.write(text);
		t.regex(await readAnswer(socket), /connection: close\r\n/iv);
		await once(socket, 'close');
		t.deepEqual(orders, []);
	});
}

// Off is the default: a deployment that does not set it must be served as before.
test('without the check requests are dispatched and early refusals close unread connections', async t => {
	const {socket, orders} = await start(t, undefined);
	socket.write(head('a', 3) + 'xyz');
	const firstAnswer = await readAnswer(socket);
	t.true(firstAnswer.includes('no-target'));
	t.deepEqual(orders.map(({requestId, body}) => [requestId, body.toString()]), [['a', 'xyz']]);
	socket.write(head('b', 10).replace('a.example', 'b.example'));
	const answer = await readAnswer(socket);
	t.true(answer.includes('no-route'));
	t.regex(answer, /connection: close\r\n/iv);
});
