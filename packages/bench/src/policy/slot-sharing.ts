import {LeastInFlight, PowerOfTwo} from '@bluebellyard/core';
import {CreditDispatcher} from './credit-dispatcher.js';
import {DirectDispatcher} from './direct-dispatcher.js';
import type {Dispatcher} from './dispatcher.js';
import {Random} from './random.js';
import {atMost, type ExperimentReport, type PolicyRow} from './report.js';
import {auditPoolCfg, SharedPoolSimulation, type SharedPoolCfg} from './shared-pool-simulation.js';
import {StewardDispatcher} from './steward-dispatcher.js';

/** Load of the runs, as a share of the pool's capacity. */
const loads = [0.6, 0.8, 0.9];

/** Time between heartbeats, in milliseconds. */
const heartbeatMs = 100;

const msPerSecond = 1000;

/** Three ways to keep the slots of a shared target between many instances. */
export function runSlotSharing(seed: number): ExperimentReport {
	const cfg = {...auditPoolCfg, seed, durationMs: 10_000};
	const {slots} = cfg.target;
	const share = Math.max(1, Math.floor(slots / cfg.instances));
	const rows = [
		runRow('steward hop', cfg, world => new StewardDispatcher(world, {
			selector: i => new PowerOfTwo(new Random(seed, 10 + i).rng), setAside: false, hedge: false, immediateTries: 0, heartbeatMs,
		})),
		runRow('steward hop, one try more', cfg, world => new StewardDispatcher(world, {
			selector: i => new PowerOfTwo(new Random(seed, 10 + i).rng), setAside: false, hedge: false, immediateTries: 1, heartbeatMs,
		})),
		runRow('steward hop, two tries more', cfg, world => new StewardDispatcher(world, {
			selector: i => new PowerOfTwo(new Random(seed, 10 + i).rng), setAside: false, hedge: false, immediateTries: 2, heartbeatMs,
		})),
		runRow('direct, share of slots', cfg, world =>
			new DirectDispatcher(world, i => new LeastInFlight(new Random(seed, 10 + i).rng), share)),
		runRow('credits lent by the steward', cfg, world => new CreditDispatcher(world)),
	];
	const hop = rows[0].figures;
	return {name: 'slot sharing', rows, aims: [atMost('most running, steward hop', hop['most running 0.9'], slots)]};
}

function runRow(policy: string, cfg: SharedPoolCfg, make: (world: SharedPoolSimulation) => Dispatcher): PolicyRow {
	const capacity = cfg.targets * cfg.target.slots * msPerSecond / cfg.target.serviceMs;
	const figures: Record<string, number> = {};
	for (const load of loads) {
		const world = new SharedPoolSimulation({...cfg, rate: capacity * load});
		const dispatch = make(world);
		world.startCallers(req => {
			dispatch.send(req);
		});
		world.run();
		figures[`p50 ${load}`] = world.statistics.percentile(50);
		figures[`p99 ${load}`] = world.statistics.percentile(99);
		figures[`ok ${load}`] = world.statistics.ok / world.statistics.offered;
		figures[`most running ${load}`] = world.maxRunning();
		if (dispatch instanceof StewardDispatcher) {
			figures[`tries per request ${load}`] = 1 + (dispatch.refusedTries / world.statistics.offered);
		}
	}

	return {policy, figures};
}
