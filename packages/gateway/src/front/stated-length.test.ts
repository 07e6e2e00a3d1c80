/** Guards against a part of an answer that looks whole as the process was killed while it was written: without a length, a caller takes the end of the process for that of the answer. */
import {Buffer} from 'node:buffer';
import {once} from 'node:events';
import {connect, type Socket} from 'node:net';
import test, {type ExecutionContext} from 'ava';
import {systemClock} from '@bluebellyard/core';
import {AnswerFraming} from '@bluebellyard/http-client';
import type {OrderResult} from '../dispatch/index.js';
import {createConfiguredView, PlainWire} from '../mocks/index.js';
import type {Answer, HeaderList} from '../ports/index.js';
import {TeamAdmission} from '../teams/index.js';
import {Telemetry} from '../telemetry/index.js';
import {CallerServer} from './caller-server.js';

const targetHeaders: HeaderList = [['x-name', 'value']];

type TestAnswer = Pick<Answer, 'status' | 'framing'> & {readonly text: string; readonly headers?: HeaderList};

/** Starts a server that gives an answer to each request, and connects a caller to it. */
async function connectTo(t: ExecutionContext, answer: TestAnswer): Promise<{socket: Socket; server: CallerServer}> {
	const view = createConfiguredView();
	const telemetry = new Telemetry(systemClock);
	const server = new CallerServer({
		view, wire: new PlainWire(), admission: new TeamAdmission({view, metrics: telemetry.metrics}), clock: systemClock, telemetry, dispatcher: {
			async run(): Promise<OrderResult> {
				const {status, framing, text, headers = targetHeaders} = answer;
				return {
					kind: 'answer', target: 't', waitMs: 0, answer: {
						status, headers, body: Buffer.from(text), framing,
					},
				};
			},
		}, onKeyedRequest() {
			// The service is not sharded.
		},
	});
	const port = await server.start('127.0.0.1', 0);
	t.teardown(() => {
		server.close();
	});
	return {socket: connect(port, '127.0.0.1'), server};
}

/** Returns what a caller gets of an answer. */
async function receive(t: ExecutionContext, answer: TestAnswer, {method = 'GET', version = '1.1'} = {}): Promise<string> {
	const {socket} = await connectTo(t, answer);
	let received = '';
	socket.setEncoding('latin1').on('data', (chunk: string) => {
		received += chunk;
	});
	socket.write(`${method} / HTTP/${version}\r\nHost: a.example\r\nId: r1\r\nConnection: close\r\n\r\n`);
	await once(socket, 'end');
	return received;
}

for (const version of ['1.0', '1.1']) {
	for (const bytes of [0, 4, 540_000, 2_000_000]) {
		test(`an answer of ${bytes} bytes whose target states no end has its length for a caller with HTTP/${version}`, async t => {
			const text = 'x'.repeat(bytes);
			const received = await receive(t, {status: 200, framing: AnswerFraming.Close, text}, {version});
			t.true(received.toLowerCase().includes(`\r\ncontent-length: ${bytes}\r\n`));
			t.notRegex(received, /transfer-encoding/iv);
			t.true(received.endsWith(`\r\n\r\n${text}`));
		});
	}
}

test('a server that closes cuts an answer whose target states no end short of its length', async t => {
	const bytes = 30_000_000;
	const {socket, server} = await connectTo(t, {status: 200, framing: AnswerFraming.Close, text: 'x'.repeat(bytes)});
	socket.write('GET / HTTP/1.1\r\nHost: a.example\r\nId: r1\r\n\r\n');
	await once(socket, 'readable');
	server.close();
	let received = '';
	socket.setEncoding('latin1').on('data', (chunk: string) => {
		received += chunk;
	}).on('error', () => undefined);
	await once(socket, 'close');
	t.regex(received, /\r\ncontent-length: 30000000\r\n/v);
	t.true(received.length < bytes, `${received.length}`);
});

test('an answer without a length whose end the target stated has its length', async t => {
	t.regex(await receive(t, {status: 200, framing: AnswerFraming.Chunks, text: 'body'}), /\r\ncontent-length: 4\r\n/v);
});

test('an answer to HEAD has the length that the target stated, or none', async t => {
	const stated = await receive(t, {
		status: 200, framing: AnswerFraming.NoBody, text: '', headers: [['content-length', '600']],
	}, {method: 'HEAD'});
	t.regex(stated, /\r\ncontent-length: 600\r\n/v);
	t.notRegex(await receive(t, {status: 200, framing: AnswerFraming.NoBody, text: ''}, {method: 'HEAD'}), /content-length/iv);
});

test('an answer whose status permits no body has no length', async t => {
	t.notRegex(await receive(t, {status: 204, framing: AnswerFraming.NoBody, text: ''}), /content-length|transfer-encoding/iv);
});
