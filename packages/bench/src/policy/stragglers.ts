import {LeastInFlight, PowerOfTwo, RoundRobin} from '@bluebellyard/core';
import {DirectDispatcher, type SelectorFactory} from './direct-dispatcher.js';
import type {Dispatcher} from './dispatcher.js';
import {Random} from './random.js';
import {atMost, type ExperimentReport, type PolicyRow} from './report.js';
import {auditPoolCfg, SharedPoolSimulation, type SharedPoolCfg} from './shared-pool-simulation.js';
import {StewardDispatcher, type StewardDispatcherOptions} from './steward-dispatcher.js';

/** Factor by which a slow target is slower. */
const slowFactor = 10;

/** Interval at which other targets become the slow ones, in milliseconds. */
const slowRotationMs = 4000;

/** Largest allowed ratio of the p99 with slow targets to the p99 without. */
const maxP99Ratio = 1.5;

/** Interval between heartbeats, in milliseconds. */
const heartbeatMs = 100;

/** Policy whose figures must meet the goals. */
const chosenPolicy = 'steward, power of two, set aside, tries, hedge';

const slowShares: ReadonlyArray<[string, number]> = [['none', 0], ['10%', 0.1], ['25%', 0.25]];

type DispatcherFactory = (simulation: SharedPoolSimulation) => Dispatcher;

/** Simulates a shared pool of which a changing set of targets is 10 times slower, with several policies. */
export function runStragglers(seed: number): ExperimentReport {
	const cfg = {...auditPoolCfg, seed, durationMs: 18_000};
	const rows = [...createPolicies(seed)].map(([name, createDispatcher]) => runRow(name, createDispatcher, cfg));
	const chosen = rows.find(row => row.policy === chosenPolicy);
	const aims = slowShares.slice(1).map(([label]) =>
		atMost(`p99 ratio, ${label} slow`, chosen?.figures[`ratio ${label}`] ?? Number.NaN, maxP99Ratio));
	return {name: 'shared stragglers', rows, aims};
}

function runRow(policy: string, createDispatcher: DispatcherFactory, cfg: SharedPoolCfg): PolicyRow {
	const figures: Record<string, number> = {};
	let baselineP99 = 0;
	for (const [label, slowShare] of slowShares) {
		const simulation = new SharedPoolSimulation(cfg);
		const dispatcher = createDispatcher(simulation);
		simulation.rotateSlowTargets(Math.round(cfg.targets * slowShare), slowFactor, slowRotationMs);
		simulation.startCallers(req => {
			dispatcher.send(req);
		});
		simulation.run();
		const p99 = simulation.statistics.percentile(99);
		baselineP99 = slowShare === 0 ? p99 : baselineP99;
		figures[`p50 ${label}`] = simulation.statistics.percentile(50);
		figures[`p99 ${label}`] = p99;
		figures[`p999 ${label}`] = simulation.statistics.percentile(99.9);
		figures[`ratio ${label}`] = p99 / baselineP99;
		figures[`ok ${label}`] = simulation.statistics.ok / simulation.statistics.offered;
		figures[`most running ${label}`] = simulation.maxRunning();
	}

	return {policy, figures};
}

function createPolicies(seed: number): ReadonlyMap<string, DispatcherFactory> {
	const roundRobin: SelectorFactory = () => new RoundRobin();
	const leastInFlight: SelectorFactory = idx => new LeastInFlight(new Random(seed, 10 + idx).rng);
	const powerOfTwo: SelectorFactory = idx => new PowerOfTwo(new Random(seed, 10 + idx).rng);
	const viaSteward = (overrides: Partial<StewardDispatcherOptions>): DispatcherFactory => simulation => new StewardDispatcher(simulation, {
		selector: powerOfTwo, setAside: false, hedge: false, immediateTries: 0, heartbeatMs, ...overrides,
	});
	return new Map<string, DispatcherFactory>([
		['direct, round robin', simulation => new DirectDispatcher(simulation, roundRobin)],
		['direct, least in flight', simulation => new DirectDispatcher(simulation, leastInFlight)],
		['steward, round robin', viaSteward({selector: roundRobin})],
		['steward, power of two', viaSteward({})],
		['steward, power of two, set aside', viaSteward({setAside: true})],
		['steward, power of two, set aside, hedge', viaSteward({setAside: true, hedge: true})],
		['steward, power of two, set aside, tries', viaSteward({setAside: true, immediateTries: 2})],
		[chosenPolicy, viaSteward({setAside: true, immediateTries: 2, hedge: true})],
		['steward, own evidence only, tries, hedge', viaSteward({
			setAside: true, immediateTries: 2, hedge: true, heartbeatMs: 0,
		})],
		['steward, least in flight, set aside, hedge', viaSteward({selector: leastInFlight, setAside: true, hedge: true})],
	]);
}
