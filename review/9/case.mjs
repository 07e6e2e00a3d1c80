/**
 * One of four upstreams answers its grants with bodies without end. Checks that requests are answered by the time that
 * their route allows, or half a second later, and that the processes answer at all.
 */
/* eslint-disable camelcase -- The names are those of the platform. */
import {fork} from 'node:child_process';
import {fileURLToPath} from 'node:url';
import {
	hasTrouble, runCase, send, sleep, Upstream,
} from '../common-2/lab.mjs';

const folder = fileURLToPath(new URL('.', import.meta.url));

/** Time for which requesters send, in milliseconds. */
const trafficMs = 56_000;

/** `timeout_s` of the route, in milliseconds, and the time after it by which at least half of the late requests must be answered. */
const timeoutMs = 2000;
const slackMs = 500;

/** Deadline of the requesters, who give up then; that of `history-read` on the site, whose route has this timeout. */
const deadlineMs = 3000;

/** Time for which the liveness check waits here. */
const waitMs = 10_000;

/** Fewest requests that are unanswered at their timeout for a judgement. */
const minLate = 20;

await runCase(folder, async lab => {
	const route = lab.config.routes.find(({name}) => name === 'kread');
	route.timeout_s = timeoutMs / 1000;
	const children = [];
	const startRemote = async (id, zone, mode) => {
		const child = fork(fileURLToPath(new URL('upstream.mjs', import.meta.url)), [id, 'desk', zone, mode]);
		children.push(child);
		const {port, born} = await new Promise(resolve => {
			child.once('message', resolve);
		});
		child.on('message', state => {
			child.state = state;
		});
		const upstream = new Upstream(id, 'desk', zone, {isSharded: true});
		upstream.born = born;
		upstream.start = async () => {
			upstream.port = port;
		};

		return upstream;
	};

	try {
		const upstreams = [
			await startRemote('i-a1', 'a', hasTrouble ? 'endless' : 'sound'),
			await startRemote('i-a2', 'a', 'sound'),
			await startRemote('i-b1', 'b', 'sound'),
			await startRemote('i-b2', 'b', 'sound'),
		];
		await lab.start({gateways: [{name: 'edge-a-1', zone: 'a'}, {name: 'edge-a-2', zone: 'a'}, {name: 'edge-b-1', zone: 'b'}], upstreams});

		const tooks = [];
		const counts = {};
		const silences = new Map(lab.gateways.map(({name}) => [name, 0]));
		const startedAt = performance.now();
		let number = 0;
		const ask = async () => {
			number += 1;
			const id = `r-${number}`;
			const {callers: port} = lab.gateways[number % lab.gateways.length];
			const sentAt = performance.now();
			let outcome;
			try {
				const {status} = await send({
					port, path: `/kread/${id}`, headers: {'x-attempt-id': id, 'x-deadline-ms': String(deadlineMs), 'x-shard-key': String((number * 7919) % 65_536)}, timeoutMs: deadlineMs,
				});
				outcome = status;
			} catch (err) {
				outcome = err.message;
			}

			counts[outcome] = (counts[outcome] ?? 0) + 1;
			tooks.push(performance.now() - sentAt);
		};

		const isOver = () => performance.now() - startedAt > trafficMs;
		const watch = async gateway => {
			while (!isOver()) {
				const askedAt = performance.now();
				// eslint-disable-next-line no-await-in-loop
				await send({port: gateway.health, path: '/api/ready', timeoutMs: waitMs}).catch(() => undefined);
				silences.set(gateway.name, Math.max(silences.get(gateway.name), performance.now() - askedAt));
				// eslint-disable-next-line no-await-in-loop
				await sleep(250);
			}
		};

		const watches = lab.gateways.map(async gateway => watch(gateway));
		const requests = [];
		while (!isOver()) {
			requests.push(ask());
			if (number % 450 === 0) {
				const late = tooks.filter(tookMs => tookMs > timeoutMs).length;
				lab.record(`sent ${number}, answered ${tooks.length}, later than ${timeoutMs} ms ${late}, bodies of grant answers that are open ${children[0].state?.openBodies}, ${Math.round((children[0].state?.sentBytes ?? 0) / 1_000_000)} MB, ${children[0].state?.spoilt} of ${children[0].state?.answers} answers spoilt`);
			}

			// eslint-disable-next-line no-await-in-loop
			await sleep(16);
		}

		await Promise.all([...requests, ...watches]);
		const late = tooks.filter(tookMs => tookMs > timeoutMs).length;
		const tooLate = tooks.filter(tookMs => tookMs > timeoutMs + slackMs).length;
		lab.record(`longest time without an answer to the liveness check: ${[...silences].map(([name, ms]) => `${name} ${Math.round(ms)} ms`).join(', ')}`);
		lab.record(`requests ${tooks.length}, outcomes ${JSON.stringify(counts)}`);
		lab.record(`unanswered at ${timeoutMs} ms: ${late}; of these unanswered ${slackMs} ms later: ${tooLate}; longest ${Math.round(Math.max(...tooks))} ms`);
		return !(late >= minLate && tooLate > late / 2);
	} finally {
		for (const child of children) {
			child.kill('SIGKILL');
		}
	}
});
