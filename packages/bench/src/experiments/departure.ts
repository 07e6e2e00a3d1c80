import {setTimeout as sleep} from 'node:timers/promises';
import {machineClock, TargetKind} from '@bluebellyard/standins';
import type {Deployment} from '../deployment/index.js';
import {atMost} from '../policy/index.js';
import {
	closeRoute, computeFigures, keyedPool, lookupRoute, queryRoute, countReasons, createResult, sendLoad, sharedPool, createTopology, withDeployment,
	type ExperimentResult,
} from './experiment.js';

const slots = 4;
const serviceMs = 20;
const domain = 'south';

/** Requests per second, a quarter of the capacity of the pools without the domain. */
const rate = 200;

const durationMs = 24_000;
const drainAtMs = 4000;
const returnAtMs = 12_000;

/** Time after the drain command after which the domain may receive no new work, in milliseconds. */
const maxWorkAfterDrainMs = 2000;

const topology = createTopology([
	{
		name: keyedPool, targets: 9, options: {
			kind: TargetKind.Keyed, slots, serviceMs, coldRequests: 20,
		},
	},
	{
		name: sharedPool, targets: 6, options: {
			kind: TargetKind.Shared, slots, serviceMs, coldRequests: 20,
		},
	},
], slots);

/** Measures the failed requests and the remaining work while operators drain a failure domain and return it. */
export async function runDeparture(seed: number): Promise<ExperimentResult> {
	return withDeployment(topology, async deployment => {
		const [views, times] = await Promise.all([
			sendLoad(deployment.callerAddrs, [lookupRoute, closeRoute, queryRoute], {rate, durationMs, seed}),
			drainAndReturn(deployment),
		]);
		const lastWorkMs = await findLastStart(deployment, times.drainedAt, times.returnedAt) - times.drainedAt;
		const all = computeFigures(views);
		const failed = all.requests - all.ok;
		const rows = [
			{phase: 'before', ...computeFigures(views, undefined, times.drainedAt)},
			{phase: 'out', ...computeFigures(views, times.drainedAt, times.returnedAt)},
			{phase: 'back', ...computeFigures(views, times.returnedAt)},
			{
				phase: 'all', lastWorkMs, ...all, reasons: JSON.stringify(countReasons(views)),
			},
		];
		return createResult(deployment, views, {
			name: 'departure',
			seed,
			rows,
			aims: [
				atMost('failed requests', failed, 0),
				atMost('time to the last new work in the domain, ms', lastWorkMs, maxWorkAfterDrainMs),
			],
		});
	});
}

async function drainAndReturn(deployment: Deployment): Promise<{drainedAt: number; returnedAt: number}> {
	await sleep(drainAtMs);
	const drainedAt = machineClock.now();
	await runDomainCommand(deployment, 'drain');
	await sleep(Math.max(0, drainedAt + returnAtMs - drainAtMs - machineClock.now()));
	const returnedAt = machineClock.now();
	await runDomainCommand(deployment, 'return');
	return {drainedAt, returnedAt};
}

async function runDomainCommand(deployment: Deployment, command: 'drain' | 'return'): Promise<void> {
	const who = command === 'drain' ? ['--who', 'bench'] : [];
	const result = await deployment.runCtl(command, 'domain', domain, ...who);
	if (result.code !== 0) {
		throw new Error(`Operator command failed: ${result.out}${result.err}`);
	}
}

/** Returns the start time of the last order in the domain between two times; `from` if there is none. */
async function findLastStart(deployment: Deployment, from: number, to: number): Promise<number> {
	const names = new Set([...deployment.targets.values()].filter(({plan}) => plan.domain === domain).map(({plan}) => plan.name));
	const ledgers = await deployment.fetchLedgers();
	const startTimes = ledgers.filter(({target}) => names.has(target)).flatMap(({entries}) => entries).map(entry => entry.started);
	return Math.max(from, ...startTimes.filter(started => started > from && started < to));
}
