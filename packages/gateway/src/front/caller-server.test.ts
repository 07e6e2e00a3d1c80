import {once} from 'node:events';
import {Worker} from 'node:worker_threads';
import test from 'ava';
import {ErrorKind, ManualClock, systemClock} from '@bluebellyard/core';
import {failure, type Dispatcher, type Order} from '../dispatch/index.js';
import {createConfiguredView, PlainWire} from '../mocks/index.js';
import {TeamAdmission} from '../teams/index.js';
import {Telemetry} from '../telemetry/index.js';
import {CallerServer} from './caller-server.js';

/** Worker script: sends one request on each of `count` connections and closes its side immediately. */
const leavingCallers = `
const {workerData: {port, count, flag}} = require('node:worker_threads');
const {connect} = require('node:net');
let open = count;
for (let n = 0; n < count; n += 1) {
	connect(port, '127.0.0.1').end(\`GET / HTTP/1.1\\r\\nHost: a.example\\r\\nId: \${n}\\r\\n\\r\\n\`, () => {
		open -= 1;
		if (open === 0) {
			Atomics.store(flag, 0, 1);
			Atomics.notify(flag, 0);
		}
	});
}
`;

test('requests of callers that left before they were read are not dispatched', async t => {
	const dispatched: string[] = [];
	const dispatcher: Pick<Dispatcher, 'run'> = {
		async run({requestId}: Order) {
			dispatched.push(requestId);
			return failure(ErrorKind.NoTarget, {});
		},
	};
	const view = createConfiguredView();
	const telemetry = new Telemetry(new ManualClock());
	const server = new CallerServer({
		view, wire: new PlainWire(), dispatcher, admission: new TeamAdmission({view, metrics: telemetry.metrics}), clock: systemClock, telemetry, onKeyedRequest() {
			// The service is not sharded.
		},
	});
	const port = await server.start('127.0.0.1', 0);
	const flag = new Int32Array(new SharedArrayBuffer(4));
	const worker = new Worker(leavingCallers, {eval: true, workerData: {port, count: 20, flag}});
	await once(worker, 'online');
	// Blocks this thread until the callers have left, as if the process were short of processor time.
	Atomics.wait(flag, 0, 0, 5000);
	t.is(flag[0], 1);
	await once(worker, 'exit');
	await new Promise(resolve => {
		setTimeout(resolve, 200);
	});
	t.deepEqual(dispatched, []);
	server.close();
});
