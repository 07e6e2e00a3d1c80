import {LeastInFlight, PowerOfTwo} from '@bluebellyard/core';
import {CreditDispatcher} from './credit-dispatcher.js';
import {DirectDispatcher} from './direct-dispatcher.js';
import type {Dispatcher} from './dispatcher.js';
import {Random} from './random.js';
import {atMost, type ExperimentReport, type PolicyRow} from './report.js';
import {auditPoolCfg, SharedPoolSimulation, type SharedPoolCfg} from './shared-pool-simulation.js';
import {StewardDispatcher} from './steward-dispatcher.js';

/** Offered loads, as shares of the pool's capacity. */
const loads = [0.6, 0.8, 0.9];

/** Interval between heartbeats, in milliseconds. */
const heartbeatMs = 100;

const msPerSecond = 1000;

/** Simulates three ways to share the slots of a target among many instances. */
export function runSlotSharing(seed: number): ExperimentReport {
	const cfg = {...auditPoolCfg, seed, durationMs: 10_000};
	const {slots} = cfg.target;
	const share = Math.max(1, Math.floor(slots / cfg.instances));
	const rows = [
		runRow('steward hop', cfg, simulation => new StewardDispatcher(simulation, {
			selector: idx => new PowerOfTwo(new Random(seed, 10 + idx).rng), setAside: false, hedge: false, immediateTries: 0, heartbeatMs,
		})),
		runRow('steward hop, one try more', cfg, simulation => new StewardDispatcher(simulation, {
			selector: idx => new PowerOfTwo(new Random(seed, 10 + idx).rng), setAside: false, hedge: false, immediateTries: 1, heartbeatMs,
		})),
		runRow('steward hop, two tries more', cfg, simulation => new StewardDispatcher(simulation, {
			selector: idx => new PowerOfTwo(new Random(seed, 10 + idx).rng), setAside: false, hedge: false, immediateTries: 2, heartbeatMs,
		})),
		runRow('direct, share of slots', cfg, simulation =>
			new DirectDispatcher(simulation, idx => new LeastInFlight(new Random(seed, 10 + idx).rng), share)),
		runRow('credits lent by the steward', cfg, simulation => new CreditDispatcher(simulation)),
	];
	const viaSteward = rows[0].figures;
	return {name: 'slot sharing', rows, aims: [atMost('most running, steward hop', viaSteward['most running 0.9'], slots)]};
}

function runRow(policy: string, cfg: SharedPoolCfg, createDispatcher: (simulation: SharedPoolSimulation) => Dispatcher): PolicyRow {
	const capacity = cfg.targets * cfg.target.slots * msPerSecond / cfg.target.serviceMs;
	const figures: Record<string, number> = {};
	for (const load of loads) {
		const simulation = new SharedPoolSimulation({...cfg, rate: capacity * load});
		const dispatcher = createDispatcher(simulation);
		simulation.startCallers(req => {
			dispatcher.send(req);
		});
		simulation.run();
		figures[`p50 ${load}`] = simulation.statistics.percentile(50);
		figures[`p99 ${load}`] = simulation.statistics.percentile(99);
		figures[`ok ${load}`] = simulation.statistics.ok / simulation.statistics.offered;
		figures[`most running ${load}`] = simulation.maxRunning();
		if (dispatcher instanceof StewardDispatcher) {
			figures[`tries per request ${load}`] = 1 + (dispatcher.refusedTries / simulation.statistics.offered);
		}
	}

	return {policy, figures};
}
