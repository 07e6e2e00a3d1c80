import {machineClock, TargetKind} from '@bluebellyard/standins';
import {atLeast, atMost} from '../policy/index.js';
import {
	closeRoute, computeFigures, keyedPool, lookupRoute, countReasons, createResult, sendLoad, createTopology, withDeployment, type ExperimentResult,
} from './experiment.js';

const targetCount = 2;
const slots = 4;
const serviceMs = 30;

/** Requests per second that the targets can do. */
const capacity = targetCount * slots * 1000 / serviceMs;

const overloads = [0.5, 3];
const durationMs = 10_000;

/** Time at the start of a phase that is not counted, in milliseconds. */
const settleMs = 1000;

/** Smallest goodput in relation to the capacity. */
const minGoodputRatio = 0.9;

/** Time in which a refusal is answered, in milliseconds. */
const maxRefusalMs = 10;

const topology = createTopology([{
	name: keyedPool, targets: targetCount, options: {kind: TargetKind.Keyed, slots, serviceMs},
}], slots);

/** A keyed pool that is offered three times what it can do. */
export async function runOverload(seed: number): Promise<ExperimentResult> {
	return withDeployment(topology, async deployment => {
		const rows: Array<Record<string, number | string>> = [];
		const all = [];
		for (const overload of overloads) {
			const from = machineClock.now() + settleMs;
			// eslint-disable-next-line no-await-in-loop -- phases follow each other
			const views = await sendLoad(deployment.callerAddrs, [lookupRoute, closeRoute], {
				rate: capacity * overload, durationMs, seed,
			});
			all.push(...views);
			const figures = computeFigures(views, from);
			const goodput = figures.ok * 1000 / (durationMs - settleMs) / capacity;
			rows.push({
				overload, goodput, ...figures, reasons: JSON.stringify(countReasons(views)),
			});
		}

		const pressed = rows[1];
		return createResult(deployment, all, {
			name: 'overload',
			seed,
			rows,
			aims: [
				atLeast('goodput at 3 times the capacity', Number(pressed.goodput), minGoodputRatio),
				atMost('p99 of refusals, ms', Number(pressed.refusalP99Ms), maxRefusalMs),
			],
		});
	});
}
