/**
 * Worker of `body-memory.test.ts`: a server for callers. Posts its port, then the length of the body of the first
 * request that it has read.
 */
import {parentPort} from 'node:worker_threads';
import {ErrorKind, systemClock} from '@bluebellyard/core';
import {failure, type Order} from '../dispatch/index.js';
import {CallerServer} from '../front/index.js';
import {TeamAdmission} from '../teams/index.js';
import {Telemetry} from '../telemetry/index.js';
import {View} from '../view/index.js';
import {createConfig} from './create-config.js';
import {PlainWire} from './plain-wire.js';

const config = createConfig(1);
const view = new View();
view.setConfig({...config, limits: {...config.limits, bodyBytes: 4_000_000}});
const telemetry = new Telemetry(systemClock);
const server = new CallerServer({
	view,
	wire: new PlainWire(),
	admission: new TeamAdmission({view, metrics: telemetry.metrics}),
	clock: systemClock,
	telemetry,
	dispatcher: {
		async run({body}: Order) {
			parentPort?.postMessage(body.length);
			return failure(ErrorKind.NoTarget, {});
		},
	},
	onKeyedRequest() {
		// The service is not sharded.
	},
});
parentPort?.postMessage(await server.start('127.0.0.1', 0));
