import {LeastInFlight, PowerOfTwo} from '@bluebellyard/core';
import {CreditDispatch} from './credit-dispatch.js';
import {DirectDispatch} from './direct-dispatch.js';
import type {Dispatch} from './dispatch.js';
import {Random} from './random.js';
import {atMost, type ExperimentReport, type PolicyRow} from './report.js';
import {auditPool, SharedWorld, type SharedCfg} from './shared-world.js';
import {StewardDispatch} from './steward-dispatch.js';

/** Offered loads, as shares of the pool's capacity. */
const loads = [0.6, 0.8, 0.9];

/** Interval between heartbeats, in milliseconds. */
const heartbeatMs = 100;

const msPerSecond = 1000;

/** Simulates three ways to share the slots of a target among many instances. */
export function runSlotSharing(seed: number): ExperimentReport {
	const cfg = {...auditPool, seed, durationMs: 10_000};
	const {slots} = cfg.target;
	const share = Math.max(1, Math.floor(slots / cfg.instances));
	const rows = [
		runRow('steward hop', cfg, simulation => new StewardDispatch(simulation, {
			chooser: idx => new PowerOfTwo(new Random(seed, 10 + idx).rng), setAside: false, hedge: false, tries: 0, heartbeatMs,
		})),
		runRow('steward hop, one try more', cfg, simulation => new StewardDispatch(simulation, {
			chooser: idx => new PowerOfTwo(new Random(seed, 10 + idx).rng), setAside: false, hedge: false, tries: 1, heartbeatMs,
		})),
		runRow('steward hop, two tries more', cfg, simulation => new StewardDispatch(simulation, {
			chooser: idx => new PowerOfTwo(new Random(seed, 10 + idx).rng), setAside: false, hedge: false, tries: 2, heartbeatMs,
		})),
		runRow('direct, share of slots', cfg, simulation =>
			new DirectDispatch(simulation, idx => new LeastInFlight(new Random(seed, 10 + idx).rng), share)),
		runRow('credits lent by the steward', cfg, simulation => new CreditDispatch(simulation)),
	];
	const viaSteward = rows[0].figures;
	return {name: 'slot sharing', rows, aims: [atMost('most running, steward hop', viaSteward['most running 0.9'], slots)]};
}

function runRow(policy: string, cfg: SharedCfg, createDispatcher: (simulation: SharedWorld) => Dispatch): PolicyRow {
	const capacity = cfg.targets * cfg.target.slots * msPerSecond / cfg.target.serviceMs;
	const figures: Record<string, number> = {};
	for (const load of loads) {
		const simulation = new SharedWorld({...cfg, rate: capacity * load});
		const dispatcher = createDispatcher(simulation);
		simulation.open(req => {
			dispatcher.send(req);
		});
		simulation.run();
		figures[`p50 ${load}`] = simulation.tally.percentile(50);
		figures[`p99 ${load}`] = simulation.tally.percentile(99);
		figures[`ok ${load}`] = simulation.tally.ok / simulation.tally.offered;
		figures[`most running ${load}`] = simulation.maxRunning();
		if (dispatcher instanceof StewardDispatch) {
			figures[`tries per request ${load}`] = 1 + (dispatcher.bounces / simulation.tally.offered);
		}
	}

	return {policy, figures};
}
