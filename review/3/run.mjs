/* eslint-disable camelcase -- the platform defines the names in its messages */
/** See claim.txt. Exit code: 0 if the rule held, 1 if it was broken, 2 if the case could not run. */
import {Buffer} from 'node:buffer';
import {setTimeout as sleep} from 'node:timers/promises';
import {Caller, createId} from '../common/callers.mjs';
import {
	describeTraffic, hasTrouble, runCase, sendSteadily,
} from '../common/case.mjs';
import {Deployment, host, limits} from '../common/deployment.mjs';
import {Upstream} from '../common/upstream.mjs';

/** Time in which requests are sent, and from when on answers are spoilt, in milliseconds. */
const playMs = 60_000;
const troubleFromMs = 5000;

/** The disturbance lasts this long, again and again, with a pause between, in milliseconds; 5 s is the default of `garble`. */
const disturbedMs = 5000;
const pauseMs = 1000;

/** Share of the upstreams that are faulty, and share of their answers that never end: the defaults of `garble`. */
const faultyShare = 0.5;
const endlessShare = 0.02;

/** Requests a second, and how long a requester waits, in milliseconds; the figures of `history-read`. */
const requestsPerSecond = 60;
const deadlineMs = 3000;

/** Requests from kept connections that may end without an answer, by the rule LOST. */
const maxLost = 3;

/** Ends of its own by which a process counts in the rule Fault, for the record. */
const faultEnds = 3;

const config = {
	routes: [{
		name: 'r-x73d3zj', host, path_prefix: '/lohu930/', kind: 'safe', timeout_s: 3, target_latency_s: 1.2, priority: 2, service: 'wuno96b', max_attempts: 2,
	}],
	services: [{
		name: 'wuno96b', health_path: '/health', max_connections: 43, protocol: 'h1', tls: false, warmup_s: 3, warmup_per_s: 3,
	}],
	limits,
};

/** Part of an endless body: chunks of one byte each, as a server sends them that writes its answer byte by byte. */
const part = Buffer.from('1\r\n.\r\n'.repeat(2000));

const deployment = new Deployment();
const upstreams = [];
const callers = Array.from({length: 30}, () => new Caller());
const answers = [];
const endless = [];
const memory = [];
let isDisturbed = false;

/** Sends a body that ends only when the gateway closes the connection. */
function answerWithoutEnd(res, id) {
	const {socket} = res;
	const entry = {
		id, at: Date.now(), bytes: 0, endedAt: undefined,
	};
	endless.push(entry);
	socket.once('close', () => {
		entry.endedAt = Date.now();
	});
	socket.write(`HTTP/1.1 200 OK\r\nx-attempt-id: ${id}\r\nx-response-seal: seal-${id}\r\ntransfer-encoding: chunked\r\n\r\n`);
	const write = () => {
		while (!socket.destroyed) {
			entry.bytes += part.length;
			if (!socket.write(part)) {
				socket.once('drain', write);
				return;
			}
		}
	};

	write();
}

async function play() {
	const zones = ['addis-bole', 'addis-merkato'];
	await deployment.startStore(config);
	for (let i = 0; i < 8; i += 1) {
		const isFaulty = i < 8 * faultyShare;
		const upstream = new Upstream({
			id: `i-${i}`, service: 'wuno96b', zone: zones[i % zones.length], slots: 2, workMs: 120, faults: {
				answer(res, id) {
					const isEndless = isDisturbed && isFaulty && Math.random() < endlessShare;
					if (isEndless) {
						answerWithoutEnd(res, id);
					}

					return isEndless;
				},
			},
		});
		upstream.isFaulty = isFaulty;
		upstreams.push(upstream);
		// eslint-disable-next-line no-await-in-loop
		await upstream.start();
		deployment.register(upstream);
	}

	await deployment.startInstances(zones);
	await sleep(4000);
	await sendSteadily({perSecond: requestsPerSecond, forMs: playMs}, async (n, elapsedMs) => {
		isDisturbed = hasTrouble && elapsedMs >= troubleFromMs && (elapsedMs - troubleFromMs) % (disturbedMs + pauseMs) < disturbedMs;
		if (n % 10 === 0) {
			memory.push({at: elapsedMs, mb: deployment.instances.map(({memoryMb}) => Math.round(memoryMb))});
		}

		answers.push(await callers[Math.floor(n / zones.length) % callers.length].send(deployment.instances[n % zones.length], {
			id: createId(), path: `/lohu930/${n.toString(36)}`, deadlineMs,
		}));
	});
	await sleep(500);
	const lost = judge();
	const ends = deployment.instances.flatMap(({name, ownEnds}) => ownEnds.map(end => ({name, ...end})));
	const faulty = deployment.instances.filter(({ownEnds}) => ownEnds.length >= faultEnds);
	const served = answers.filter(({status}) => status === 200).length;
	const unanswered = answers.filter(({status}) => status === 0).length;
	return {
		isBroken: lost.length > maxLost,
		answers,
		lines: [
			`trouble ${hasTrouble}; ${answers.length} requests sent, ${served} served, ${unanswered} without an answer; ${endless.length} answers without end; ${ends.length} processes ended by themselves; largest memory ${Math.max(...memory.flatMap(({mb}) => mb))} MB`,
			`Fault: on ${faulty.length} of ${deployment.instances.length} machines the process ended by itself ${faultEnds} times or more`,
			`LOST: ${lost.length} requests from kept connections were at sound upstreams and got no answer`,
			...ends.map(({name, code, signal, at}) => `end of ${name} at ${at}: code ${code}, signal ${signal}`),
			...endless.map(({id, at, endedAt, bytes}) => `answer without end to ${id} from ${at} to ${endedAt}, ${bytes} bytes written`),
			...lost.map(({id, instance, sentAt, endedAt, reason}) => `lost ${id} at ${instance} sent ${sentAt} ended ${endedAt} ${reason}`),
			...memory.map(({at, mb}) => `memory after ${Math.round(at)} ms: ${mb.join(', ')} MB`),
			...describeTraffic(answers, upstreams),
		],
	};
}

/** Returns the breaches of the rule LOST. */
function judge() {
	const sound = new Set(upstreams.filter(({isFaulty}) => !isFaulty).flatMap(({runs}) => runs).map(({id}) => id));
	const spoilt = new Set(upstreams.filter(({isFaulty}) => isFaulty).flatMap(({arrivals}) => arrivals).map(({id}) => id));
	// Requests from kept connections that only sound upstreams had, and whose connection ended without an answer.
	return answers.filter(({id, status, isReused, hasGivenUp}) => status === 0 && isReused && hasGivenUp !== true && sound.has(id) && !spoilt.has(id));
}

await runCase(import.meta.url, play, () => {
	deployment.stop();
	for (const stoppable of [...upstreams, ...callers]) {
		stoppable.stop();
	}
});
