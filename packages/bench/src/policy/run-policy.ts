import type {PolicyReport} from './report.js';
import {runColdStart} from './cold-start.js';
import {runKeyedStragglers} from './keyed-stragglers.js';
import {runOverload} from './overload.js';
import {runSlotSharing} from './slot-sharing.js';
import {runStragglers} from './stragglers.js';

/** Runs all experiments of the routing policies in simulated time; the same seed yields the same report. */
export function runPolicy(seed: number): PolicyReport {
	return {
		seed,
		experiments: [
			runColdStart(seed),
			runOverload(seed),
			runKeyedStragglers(seed),
			runSlotSharing(seed),
			runStragglers(seed),
		],
	};
}
