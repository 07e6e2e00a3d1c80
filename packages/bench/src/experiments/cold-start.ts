import {setTimeout as sleep} from 'node:timers/promises';
import {
	machineClock, TargetKind, type LedgerDump, type LedgerEntry,
} from '@bluebellyard/standins';
import type {Deployment} from '../deployment/index.js';
import {hasStarted} from '../ledger/index.js';
import {atMost} from '../policy/index.js';
import {
	computeFigures, keyedPool, lookupRoute, createResult, sendLoad, createTopology, withDeployment, type ExperimentResult,
} from './experiment.js';

const targetCount = 4;
const slots = 4;
const serviceMs = 15;
const coldRequests = 60;
const coldFactor = 4;

/** Requests per second, 56% of the capacity of the warm targets. */
const rate = 600;

const durationMs = 20_000;
const restartAtMs = 4000;

/** Largest allowed ratio of the time to the full share to the shortest possible one. */
const maxFullShareRatio = 1.5;

/** Targets that restart cold in each phase, by name of the phase. */
const phases: ReadonlyArray<readonly [string, readonly string[]]> = [
	['one target', ['tickets-2']],
	['a domain', ['tickets-1', 'tickets-4']],
];

const topology = createTopology([{
	name: keyedPool,
	targets: targetCount,
	options: {
		kind: TargetKind.Keyed, slots, serviceMs, coldRequests, coldFactor,
	},
}], slots);

/** Measures how targets under load restart cold: violations of their capacity, and the time to the full share. */
export async function runColdStart(seed: number): Promise<ExperimentResult> {
	return withDeployment(topology, async deployment => {
		const rows: Array<Record<string, number | string>> = [];
		const allViews = [];
		const aims = [];
		await sendLoad(deployment.callerAddrs, [lookupRoute], {rate: rate / 2, durationMs: 5000, seed});
		for (const [phase, names] of phases) {
			// eslint-disable-next-line no-await-in-loop -- phases are sequential
			const before = countColdViolations(await deployment.fetchLedgers());
			// eslint-disable-next-line no-await-in-loop -- phases are sequential
			const [views, restartedAt] = await Promise.all([
				sendLoad(deployment.callerAddrs, [lookupRoute], {rate, durationMs, seed}),
				restartTargets(deployment, names),
			]);
			// eslint-disable-next-line no-await-in-loop -- phases are sequential
			const ledgers = await deployment.fetchLedgers();
			const times = ledgers.filter(({target}) => names.includes(target)).map(dump => findFullShareMs(dump, restartedAt));
			const violations = countColdViolations(ledgers) - before;
			allViews.push(...views);
			rows.push({
				phase, violations, fullShareMs: Math.max(...times), leastMs: computeMinWarmUpMs(), ...computeFigures(views),
			});
			aims.push(
				atMost(`above bearable, ${phase}`, violations, 0),
				atMost(`time to full share against least, ${phase}`, Math.max(...times) / computeMinWarmUpMs(), maxFullShareRatio),
			);
		}

		return createResult(deployment, allViews, {
			name: 'cold start', seed, rows, aims,
		});
	});
}

async function restartTargets(deployment: Deployment, names: readonly string[]): Promise<number> {
	await sleep(restartAtMs);
	const restartedAt = machineClock.now();
	await Promise.all(names.map(async name => deployment.setTargetFaults(name, {restartCold: true})));
	return restartedAt;
}

/** Returns the time from the restart until the target first used all slots, in milliseconds. */
function findFullShareMs({entries}: LedgerDump, restartedAt: number): number {
	const started = entries.filter(entry => hasStarted(entry) && entry.started > restartedAt);
	const firstFull = started.find(entry => countRunning(started, entry) >= slots);
	return (firstFull?.started ?? Number.POSITIVE_INFINITY) - restartedAt;
}

function countRunning(entries: readonly LedgerEntry[], reference: LedgerEntry): number {
	return entries.filter(entry => entry.started <= reference.started && entry.ended > reference.started).length;
}

function countColdViolations(ledgers: readonly LedgerDump[]): number {
	return ledgers.reduce((sum, {totals}) => sum + totals.coldViolations, 0);
}

/** Returns the shortest possible warm-up time, with the target always at its current capacity, in milliseconds. */
function computeMinWarmUpMs(): number {
	let time = 0;
	for (let served = 0; served < coldRequests; served++) {
		const progress = served / coldRequests;
		const capacity = Math.floor(1 + (progress * (slots - 1)));
		time += serviceMs * (1 + ((1 - progress) * (coldFactor - 1))) / capacity;
	}

	return time;
}
