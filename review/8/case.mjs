/**
 * A faulty upstream spoils a few of its answers: they have no length, and their bodies repeat the first bytes of a
 * status line until the upstream closes the connection. Checks that the processes go on answering.
 */
/* eslint-disable camelcase -- The names are those of the platform. */
import {Buffer} from 'node:buffer';
import {fileURLToPath} from 'node:url';
import {
	hasTrouble, runCase, send, sleep, Upstream,
} from '../common-2/lab.mjs';

const folder = fileURLToPath(new URL('.', import.meta.url));

/** Time for which requesters send, and the pause between two requests, in milliseconds. */
const trafficMs = 42_000;
const pauseMs = 40;

/** Timeout of the routes, and the time after it by which at least half of the late requests must be answered, in milliseconds. */
const timeoutMs = 2000;
const slackMs = 500;

/** Deadline of the requesters, who give up then; that of `history-read` on the site, whose route has this timeout. */
const deadlineMs = 3000;

/** Time for which the liveness check waits here, to see for how long a process stands still. */
const waitMs = 25_000;

/** Fewest requests that are unanswered at their timeout for a judgement. */
const minLate = 20;

/** One in so many answers of the faulty upstream is spoilt, for 5 s at a time with pauses of 2 s. */
const spoilEvery = 25;
const spellMs = 5000;
const cycleMs = 7000;

/** Body of such an answer: a part of the start of a status line, over and over; 32 MB. */
const spoiltBody = Buffer.from('HTTP/1.'.repeat(4_600_000));

await runCase(folder, async lab => {
	let spoilt = 0;
	let received = 0;
	let startedAt = performance.now();
	const isInSpell = () => (performance.now() - startedAt) % cycleMs < spellMs;
	const answer = async ({res, id, upstream}) => {
		await sleep(20);
		const body = `answer to ${id}`;
		res.writeHead(200, {'x-attempt-id': id, 'x-response-seal': `${upstream.id}.${id}.200`, 'content-length': body.length}).end(body);
	};

	const answerFaulty = async exchange => {
		const {req: {socket}, id, upstream} = exchange;
		received += isInSpell() ? 1 : 0;
		if (!hasTrouble || !isInSpell() || received % spoilEvery !== 0) {
			await answer(exchange);
			return;
		}

		spoilt += 1;
		lab.record(`${upstream.id} spoils its answer to ${id}`);
		socket.on('error', () => undefined);
		socket.write(`HTTP/1.1 200 OK\r\nX-Attempt-Id: ${id}\r\nX-Response-Seal: ${upstream.id}.${id}.200\r\nConnection: close\r\n\r\n`);
		socket.end(spoiltBody);
	};

	for (const route of lab.config.routes) {
		route.timeout_s = timeoutMs / 1000;
	}

	await lab.start({
		gateways: [{name: 'edge-a-1', zone: 'a'}, {name: 'edge-a-2', zone: 'a'}, {name: 'edge-b-1', zone: 'b'}],
		upstreams: [
			new Upstream('i-a1', 'ledger', 'a', {run: answerFaulty}),
			new Upstream('i-a2', 'ledger', 'a', {run: answer}),
			new Upstream('i-b1', 'ledger', 'b', {run: answer}),
			new Upstream('i-b2', 'ledger', 'b', {run: answer}),
		],
	});

	const tooks = [];
	const counts = {};
	const silences = new Map(lab.gateways.map(({name}) => [name, 0]));
	startedAt = performance.now();
	const isOver = () => performance.now() - startedAt > trafficMs;
	let number = 0;
	const ask = async () => {
		number += 1;
		const id = `r-${number}`;
		const {callers: port} = lab.gateways[number % lab.gateways.length];
		const sentAt = performance.now();
		let outcome;
		try {
			const {status} = await send({
				port, path: `/read/${id}`, headers: {'x-attempt-id': id, 'x-deadline-ms': String(deadlineMs)}, timeoutMs: deadlineMs,
			});
			outcome = status;
		} catch (err) {
			outcome = err.message;
		}

		counts[outcome] = (counts[outcome] ?? 0) + 1;
		tooks.push(performance.now() - sentAt);
	};

	const watch = async gateway => {
		while (!isOver()) {
			const askedAt = performance.now();
			// eslint-disable-next-line no-await-in-loop
			await send({port: gateway.health, path: '/api/ready', timeoutMs: waitMs}).catch(() => undefined);
			const tookMs = performance.now() - askedAt;
			silences.set(gateway.name, Math.max(silences.get(gateway.name), tookMs));
			if (tookMs > 1000) {
				lab.record(`${gateway.name} answered the liveness check after ${Math.round(tookMs)} ms`);
			}

			// eslint-disable-next-line no-await-in-loop
			await sleep(250);
		}
	};

	const watches = lab.gateways.map(async gateway => watch(gateway));
	const requests = [];
	while (!isOver()) {
		requests.push(ask());
		// eslint-disable-next-line no-await-in-loop
		await sleep(pauseMs);
	}

	await Promise.all([...requests, ...watches]);
	const late = tooks.filter(tookMs => tookMs > timeoutMs).length;
	const tooLate = tooks.filter(tookMs => tookMs > timeoutMs + slackMs).length;
	lab.record(`longest time without an answer to the liveness check: ${[...silences].map(([name, ms]) => `${name} ${Math.round(ms)} ms`).join(', ')}`);
	lab.record(`requests ${tooks.length}, outcomes ${JSON.stringify(counts)}, spoilt answers ${spoilt}`);
	lab.record(`unanswered at ${timeoutMs} ms: ${late}; of these unanswered ${slackMs} ms later: ${tooLate}; longest ${Math.round(Math.max(...tooks))} ms`);
	return !(late >= minLate && tooLate > late / 2);
});
