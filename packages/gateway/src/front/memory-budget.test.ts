import {once} from 'node:events';
import {request, type ClientRequest, type IncomingMessage} from 'node:http';
import {Buffer} from 'node:buffer';
import test from 'ava';
import {MemoryBudget, ErrorKind, systemClock} from '@bluebellyard/core';
import {failure, type Order} from '../dispatch/index.js';
import {createConfig, PlainWire} from '../mocks/index.js';
import {TeamAdmission} from '../teams/index.js';
import {Telemetry} from '../telemetry/index.js';
import {View} from '../view/index.js';
import {CallerServer} from './caller-server.js';

const kb = 1024;

// Guards against a process that is ended for its memory: each of several bodies is below the limit of one.
test('bodies beyond the budget are rejected, and others are served', async t => {
	const config = createConfig(1);
	const view = new View();
	view.setConfig({...config, limits: {...config.limits, bodyBytes: 1000 * kb}});
	const telemetry = new Telemetry(systemClock);
	const read: number[] = [];
	const server = new CallerServer({
		view, wire: new PlainWire(), budget: new MemoryBudget(1200 * kb), admission: new TeamAdmission({view, metrics: telemetry.metrics}), clock: systemClock, telemetry, dispatcher: {
			async run({body}: Order) {
				read.push(body.length);
				return failure(ErrorKind.NoTarget, {});
			},
		}, onKeyedRequest() {
			// The service is not sharded.
		},
	});
	const port = await server.start('127.0.0.1', 0);
	t.teardown(() => {
		server.close();
	});
	const open = (id: string): ClientRequest => {
		const req = request({
			host: '127.0.0.1', port, method: 'POST', path: '/', headers: {host: 'a.example', id}, agent: false,
		});
		req.on('error', () => undefined);
		return req;
	};

	const large = open('large');
	large.write(Buffer.alloc(800 * kb));
	await new Promise(resolve => {
		setTimeout(resolve, 100);
	});
	const small = open('small');
	const rejected = once(large, 'response') as Promise<[IncomingMessage]>;
	small.end(Buffer.alloc(600 * kb));
	const [[res]] = await Promise.all([rejected, once(small, 'response')]);
	t.is(res.statusCode, 503);
	t.truthy(res.headers['retry-after']);
	t.deepEqual(read, [600 * kb]);
	// What was read is not held any longer.
	const next = open('next');
	next.end(Buffer.alloc(900 * kb));
	await once(next, 'response');
	t.deepEqual(read, [600 * kb, 900 * kb]);
});
