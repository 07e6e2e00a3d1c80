import {setTimeout as sleep} from 'node:timers/promises';
import {machineClock, TargetKind} from '@bluebellyard/standins';
import type {Deployment} from '../deployment/index.js';
import {Random} from '../load/index.js';
import {atMost} from '../policy/index.js';
import {
	computeFigures, queryRoute, createResult, sendLoad, sharedPool, createTopology, withDeployment, type ExperimentResult,
} from './experiment.js';

const targetCount = 12;
const slots = 4;
const serviceMs = 80;

/** Requests per second, half of the pool's capacity. */
const rate = 300;

const slowFactor = 10;
const phaseMs = 12_000;
const slowRotationMs = 4000;

/** Duration of the load before the first phase, in which the limits grow, in milliseconds. */
const warmUpMs = 6000;

/** Largest allowed ratio of the p99 with slow targets to the p99 without. */
const maxP99Ratio = 1.5;

/** Number of slow targets in each phase, by name of the phase. */
const phases: ReadonlyArray<readonly [string, number]> = [['none', 0], ['8%', 1], ['25%', 3]];

const topology = createTopology([{
	name: sharedPool, targets: targetCount, options: {kind: TargetKind.Shared, slots, serviceMs},
}], slots);

/**
 * Measures a shared pool of which a changing set of targets is 10 times slower. Round robin that sends directly
 * to the targets is measured for comparison.
 */
export async function runStragglers(seed: number): Promise<ExperimentResult> {
	return withDeployment(topology, async deployment => {
		await sendLoad(deployment.callerAddrs, [queryRoute], {rate, durationMs: warmUpMs, seed});
		const routed = await runPhases(deployment, deployment.callerAddrs, seed);
		const targetAddrs = [...deployment.targets.values()].map(({child}) => child.addr);
		// Reads the ledgers before the round-robin run, because the targets record that run in them, too.
		const result = await createResult(deployment, routed.views, {
			name: 'stragglers', seed, rows: [], aims: [],
		});
		const direct = await runPhases(deployment, targetAddrs, seed);
		const [baseline, ...slowed] = routed.rows;
		const aims = slowed.map(row =>
			atMost(`p99 ratio, ${row.slow} slow`, Number(row.p99Ms) / Number(baseline.p99Ms), maxP99Ratio));
		const rows = [...routed.rows, ...direct.rows.map(row => ({...row, policy: 'round robin to the targets'}))];
		return {...result, rows, aims};
	});
}

async function runPhases(deployment: Deployment, addrs: readonly string[], seed: number) {
	const rows: Array<Record<string, number | string>> = [];
	const views = [];
	for (const [slow, count] of phases) {
		const startedAt = machineClock.now();
		// eslint-disable-next-line no-await-in-loop -- phases are sequential
		const [phaseViews] = await Promise.all([
			sendLoad(addrs, [queryRoute], {rate, durationMs: phaseMs, seed}),
			rotateSlowTargets(deployment, count, new Random(seed), startedAt + phaseMs),
		]);
		views.push(...phaseViews);
		rows.push({policy: 'router', slow, ...computeFigures(phaseViews)});
	}

	return {rows, views};
}

async function rotateSlowTargets(deployment: Deployment, count: number, random: Random, until: number): Promise<void> {
	const names = [...deployment.targets.keys()];
	for (let remainingMs = until - machineClock.now(); remainingMs > 0; remainingMs = until - machineClock.now()) {
		const first = random.integer(names.length);
		const slow = new Set(Array.from({length: count}, (_, i) => names[(first + (i * 4)) % names.length]));
		// eslint-disable-next-line no-await-in-loop -- rotations are sequential
		await setSlowTargets(deployment, slow);
		// eslint-disable-next-line no-await-in-loop -- rotations are sequential
		await sleep(Math.min(slowRotationMs, remainingMs));
	}

	await setSlowTargets(deployment, new Set());
}

async function setSlowTargets(deployment: Deployment, slow: ReadonlySet<string>): Promise<void> {
	await Promise.all([...deployment.targets.keys()].map(async name =>
		deployment.setTargetFaults(name, {slowFactor: slow.has(name) ? slowFactor : 1})));
}
