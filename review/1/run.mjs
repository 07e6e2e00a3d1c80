/* eslint-disable camelcase -- the platform defines the names in its messages */
/** See claim.txt. Exit code: 0 if the rule held, 1 if it was broken, 2 if the case could not run. */
import {setTimeout as sleep} from 'node:timers/promises';
import {Caller, createId} from '../common/callers.mjs';
import {
	describeTraffic, hasTrouble, runCase, sendSteadily,
} from '../common/case.mjs';
import {Deployment, host, limits} from '../common/deployment.mjs';
import {Upstream} from '../common/upstream.mjs';

/** Time in which requests are sent, in milliseconds. */
const playMs = 80_000;

/** The upstreams reject a part of the requests, as in the sites' `srv_grey`, `how = "shed all"`, `x = 0.55`. */
const shedShare = 0.55;

/** Share of the upstreams that are faulty, and share of their rejections that they send twice, as in `garble`, `how = "extra late"`. */
const faultyShare = 0.6;
const extraShare = 0.03;

/** The disturbances last this long, one after the other, with a pause between them, in milliseconds. */
const disturbedMs = 5000;
const pauseMs = 2000;

/** Requests a second, and how long a requester waits, in milliseconds. */
const requestsPerSecond = 120;
const deadlineMs = 1500;

/** Statuses that promise that the request has not run and never will. */
const promises = new Set([408, 421, 429, 503]);

const config = {
	routes: [{
		name: 'r-i9n73hh', host, path_prefix: '/pufi791/', kind: 'unsafe', timeout_s: 1.5, target_latency_s: 0.6, priority: 1, service: 'wuno96b', max_attempts: 2,
	}],
	services: [{
		name: 'wuno96b', health_path: '/health', max_connections: 43, protocol: 'h1', tls: false, warmup_s: 3, warmup_per_s: 3,
	}],
	limits,
};

const deployment = new Deployment();
const upstreams = [];
const callers = Array.from({length: 12}, () => new Caller());
const answers = [];
const copies = [];
let isDisturbed = false;

/** Faults of an upstream: it rejects, and sends some rejections once more where the answer to the next request on the connection is expected. */
function createFaults(isFaulty) {
	const due = new Map();
	return {
		sheds: () => isDisturbed && Math.random() < shedShare,
		onRejected(socket, bytes, id) {
			if (isDisturbed && isFaulty && Math.random() < extraShare) {
				due.set(socket, {bytes, id});
			}
		},
		onRequest(socket, id) {
			const extra = due.get(socket);
			if (extra !== undefined) {
				due.delete(socket);
				copies.push({at: Date.now(), of: extra.id, beforeAnswerTo: id});
				socket.write(extra.bytes);
			}
		},
	};
}

async function play() {
	const zones = ['addis-bole', 'addis-merkato'];
	await deployment.startStore(config);
	for (let i = 0; i < 5; i += 1) {
		const upstream = new Upstream({
			id: `i-${i}`, service: 'wuno96b', zone: zones[i % zones.length], slots: 6, workMs: 40, faults: createFaults(i < 5 * faultyShare),
		});
		upstreams.push(upstream);
		// eslint-disable-next-line no-await-in-loop
		await upstream.start();
		deployment.register(upstream);
	}

	await deployment.startInstances(zones);
	await sleep(4000);
	await sendSteadily({perSecond: requestsPerSecond, forMs: playMs}, async (n, elapsedMs) => {
		isDisturbed = hasTrouble && elapsedMs % (disturbedMs + pauseMs) < disturbedMs;
		answers.push(await callers[n % callers.length].send(deployment.instances[n % zones.length], {
			id: createId(), method: 'POST', path: `/pufi791/${n.toString(36)}`, deadlineMs, body: 'x'.repeat(400),
		}));
	});
	await sleep(500);
	const {breaches, runs} = judge();
	const rejections = upstreams.flatMap(({arrivals}) => arrivals).filter(({result}) => result === 'rejected').length;
	const served = answers.filter(({status}) => status === 200).length;
	return {
		isBroken: breaches.length > 0,
		answers,
		lines: [
			`trouble ${hasTrouble}; ${answers.length} requests sent, ${served} served, ${runs.size} ran, ${rejections} rejections of upstreams, ${copies.length} of them sent twice; ${breaches.length} breaches of TWICE and REFUSED`,
			...breaches,
			...copies.map(({at, of, beforeAnswerTo}) => `second copy at ${at} of the rejection of ${of}, before the answer to ${beforeAnswerTo}`),
			...describeTraffic(answers, upstreams),
		],
	};
}

/** Returns the breaches of the rules TWICE and REFUSED. */
function judge() {
	const runs = new Map();
	for (const run of upstreams.flatMap(upstream => upstream.runs)) {
		runs.set(run.id, [...(runs.get(run.id) ?? []), run]);
	}

	const describe = list => list.map(({upstream, at}) => `${upstream} at ${at}`).join(', ');
	const twice = [...runs].filter(([, list]) => list.length > 1).map(([id, list]) => `TWICE ${id} ran ${list.length} times: ${describe(list)}`);
	const refused = answers.filter(({id, status}) => promises.has(status) && runs.has(id)).map(({id, status}) => `REFUSED ${id} answered ${status}, ran: ${describe(runs.get(id))}`);
	return {breaches: [...twice, ...refused], runs};
}

await runCase(import.meta.url, play, () => {
	deployment.stop();
	for (const stoppable of [...upstreams, ...callers]) {
		stoppable.stop();
	}
});
