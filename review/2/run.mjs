/* eslint-disable camelcase -- the platform defines the names in its messages */
/** See claim.txt. Exit code: 0 if the rule held, 1 if it was broken, 2 if the case could not run. */
import {setTimeout as sleep} from 'node:timers/promises';
import {Caller, createId} from '../common/callers.mjs';
import {
	describeTraffic, hasTrouble, runCase, sendSteadily,
} from '../common/case.mjs';
import {Deployment, host, limits} from '../common/deployment.mjs';
import {HoldLedger, KeyedUpstream} from '../common/keyed-upstream.mjs';

/** Time in which requests are sent, in milliseconds; when the foreign entry is written, and when an upstream begins to leave. */
const playMs = 24_000;
const entryAtMs = 6000;
const leaveAtMs = 8000;

/** The upstream serves for `drain_s` and a little longer after the store has its report, then ends, in milliseconds. */
const serveOnMs = 3000;

const requestsPerSecond = 50;
const deadlineMs = 1200;

const config = {
	routes: [{
		name: 'r-i9n73hh', host, path_prefix: '/pufi791/', kind: 'unsafe', timeout_s: 1.5, target_latency_s: 0.6, priority: 1, service: 'huvo11a', max_attempts: 2,
	}, {
		name: 'r-x73d3zj', host, path_prefix: '/lohu930/', kind: 'safe', timeout_s: 1.2, target_latency_s: 0.5, priority: 2, service: 'huvo11a', max_attempts: 2,
	}],
	services: [{
		name: 'huvo11a', health_path: '/health', max_connections: 43, protocol: 'h1', tls: false, warmup_s: 3, warmup_per_s: 3, sharded: true, warm_s: 3, grants: 'direct_call',
	}],
	limits,
};

const deployment = new Deployment();
const ledger = new HoldLedger();
const upstreams = [];
const callers = Array.from({length: 12}, () => new Caller());
const answers = [];

async function leave(upstream) {
	ledger.log(`${upstream.id} reports that it drains`);
	deployment.register(upstream, 'draining');
	await sleep(2000 + serveOnMs);
	ledger.log(`${upstream.id} ends`);
	deployment.store.put('keyed.servers', upstream.id, '');
	upstream.stop();
}

async function play() {
	const zones = ['addis-bole', 'addis-merkato'];
	await deployment.startStore(config);
	for (let i = 0; i < 4; i += 1) {
		const upstream = new KeyedUpstream({
			id: `i-7f3a91c${i}`, service: 'huvo11a', zone: zones[i % zones.length], slots: 4, workMs: 150, ledger,
		});
		upstreams.push(upstream);
		// eslint-disable-next-line no-await-in-loop
		await upstream.start();
		deployment.register(upstream);
	}

	await deployment.startInstances(zones);
	await sleep(4000);
	const [leaving] = upstreams;
	if (hasTrouble) {
		setTimeout(() => {
			// Another writer's entry: a service that the manifest doesn't name, at the address of an upstream that lives.
			ledger.log(`another writer's entry with the address of ${leaving.id}`);
			deployment.register({
				id: 'x-02d9e6b4', service: 'zuva77q', address: leaving.address, zone: leaving.zone, slots: 4, born: Date.now(),
			});
		}, entryAtMs);
	}

	setTimeout(() => {
		leave(leaving);
	}, leaveAtMs);
	await sendSteadily({perSecond: requestsPerSecond, forMs: playMs}, async n => {
		const isUnsafe = n % 3 === 0;
		answers.push(await callers[Math.floor(n / zones.length) % callers.length].send(deployment.instances[n % zones.length], {
			id: createId(),
			method: isUnsafe ? 'POST' : 'GET',
			path: `/${isUnsafe ? 'pufi791' : 'lohu930'}/${n.toString(36)}`,
			deadlineMs,
			headers: {'x-shard-key': String(Math.floor(Math.random() * 65_536))},
			...(isUnsafe && {body: 'x'.repeat(400)}),
		}));
	});
	await sleep(500);
	const breaches = ledger.findBreaches();
	const served = answers.filter(({status}) => status === 200).length;
	return {
		isBroken: breaches.length > 0,
		answers,
		lines: [
			`trouble ${hasTrouble}; ${answers.length} requests sent, ${served} served; ${breaches.length} breaches of OWNER`,
			...breaches,
			...ledger.events,
			...describeTraffic(answers, upstreams),
		],
	};
}

await runCase(import.meta.url, play, () => {
	deployment.stop();
	for (const stoppable of [...upstreams, ...callers]) {
		stoppable.stop();
	}
});
