import {machineClock, TargetKind} from '@bluebellyard/standins';
import {atLeast, atMost} from '../policy/index.js';
import {
	closeRoute, computeFigures, keyedPool, lookupRoute, countReasons, createResult, sendLoad, createTopology, withDeployment, type ExperimentResult,
} from './experiment.js';

const targetCount = 2;
const slots = 4;
const serviceMs = 30;

/** Capacity of the targets, in requests per second. */
const capacity = targetCount * slots * 1000 / serviceMs;

const overloads = [0.5, 3];
const durationMs = 10_000;

/** Time at the start of a phase whose requests are not counted, in milliseconds. */
const settleMs = 1000;

/** Smallest allowed ratio of the goodput to the capacity. */
const minGoodputRatio = 0.9;

/** Largest allowed p99 of the latency of refusals, in milliseconds. */
const maxRefusalMs = 10;

const topology = createTopology([{
	name: keyedPool, targets: targetCount, options: {kind: TargetKind.Keyed, slots, serviceMs},
}], slots);

/** Measures a keyed pool under a load of three times its capacity. */
export async function runOverload(seed: number): Promise<ExperimentResult> {
	return withDeployment(topology, async deployment => {
		const rows: Array<Record<string, number | string>> = [];
		const allViews = [];
		for (const overload of overloads) {
			const from = machineClock.now() + settleMs;
			// eslint-disable-next-line no-await-in-loop -- phases are sequential
			const views = await sendLoad(deployment.callerAddrs, [lookupRoute, closeRoute], {
				rate: capacity * overload, durationMs, seed,
			});
			allViews.push(...views);
			const figures = computeFigures(views, from);
			const goodput = figures.ok * 1000 / (durationMs - settleMs) / capacity;
			rows.push({
				overload, goodput, ...figures, reasons: JSON.stringify(countReasons(views)),
			});
		}

		const overloaded = rows[1];
		return createResult(deployment, allViews, {
			name: 'overload',
			seed,
			rows,
			aims: [
				atLeast('goodput at 3 times the capacity', Number(overloaded.goodput), minGoodputRatio),
				atMost('p99 of refusals, ms', Number(overloaded.refusalP99Ms), maxRefusalMs),
			],
		});
	});
}
