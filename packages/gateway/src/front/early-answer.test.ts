import type {Buffer} from 'node:buffer';
import {once} from 'node:events';
import {connect} from 'node:net';
import {setTimeout as sleep} from 'node:timers/promises';
import test from 'ava';
import {ErrorKind, systemClock} from '@bluebellyard/core';
import {failure} from '../dispatch/index.js';
import {createConfiguredView, PlainWire} from '../mocks/index.js';
import {TeamAdmission} from '../teams/index.js';
import {Telemetry} from '../telemetry/index.js';
import {CallerServer} from './caller-server.js';

test('a rejection reaches a caller that sends its whole body before it reads', async t => {
	const view = createConfiguredView();
	const telemetry = new Telemetry(systemClock);
	const server = new CallerServer({
		view, wire: new PlainWire(), admission: new TeamAdmission({view, metrics: telemetry.metrics}), clock: systemClock, telemetry, dispatcher: {
			async run() {
				return failure(ErrorKind.NoTarget, {});
			},
		}, onKeyedRequest() {
			// The service is not sharded.
		},
	});
	t.teardown(() => {
		server.close();
	});
	const socket = connect(await server.start('127.0.0.1', 0), '127.0.0.1');
	let received = '';
	socket.on('error', () => undefined);
	socket.pause();
	socket.on('data', (data: Buffer) => {
		received += data.toString();
	});
	socket.write('POST /none HTTP/1.1\r\nHost: unknown.example\r\nId: r1\r\nTransfer-Encoding: chunked\r\n\r\n');
	for (let i = 0; i < 10 && !socket.destroyed; i += 1) {
		socket.write('4\r\naaaa\r\n');
		// eslint-disable-next-line no-await-in-loop
		await sleep(20);
	}

	t.false(socket.destroyed);
	const closed = once(socket, 'close');
	socket.write('0\r\n\r\n');
	socket.resume();
	await closed;
	t.regex(received, /^HTTP\/1.1 404 /v);
});
