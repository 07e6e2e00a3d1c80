import {LeastInFlight, PowerOfTwo, RoundRobin} from '@bluebellyard/core';
import {DirectDispatch, type ChooserFactory} from './direct-dispatch.js';
import type {Dispatch} from './dispatch.js';
import {Random} from './random.js';
import {atMost, type ExperimentReport, type PolicyRow} from './report.js';
import {auditPool, SharedWorld, type SharedCfg} from './shared-world.js';
import {StewardDispatch, type StewardPolicy} from './steward-dispatch.js';

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

type DispatcherFactory = (simulation: SharedWorld) => Dispatch;

/** Simulates a shared pool of which a changing set of targets is 10 times slower, with several policies. */
export function runStragglers(seed: number): ExperimentReport {
	const cfg = {...auditPool, seed, durationMs: 18_000};
	const rows = [...createPolicies(seed)].map(([name, createDispatcher]) => runRow(name, createDispatcher, cfg));
	const chosen = rows.find(row => row.policy === chosenPolicy);
	const aims = slowShares.slice(1).map(([label]) =>
		atMost(`p99 ratio, ${label} slow`, chosen?.figures[`ratio ${label}`] ?? Number.NaN, maxP99Ratio));
	return {name: 'shared stragglers', rows, aims};
}

function runRow(policy: string, createDispatcher: DispatcherFactory, cfg: SharedCfg): PolicyRow {
	const figures: Record<string, number> = {};
	let baselineP99 = 0;
	for (const [label, slowShare] of slowShares) {
		const simulation = new SharedWorld(cfg);
		const dispatcher = createDispatcher(simulation);
		simulation.moveSlowness(Math.round(cfg.targets * slowShare), slowFactor, slowRotationMs);
		simulation.open(req => {
			dispatcher.send(req);
		});
		simulation.run();
		const p99 = simulation.tally.percentile(99);
		baselineP99 = slowShare === 0 ? p99 : baselineP99;
		figures[`p50 ${label}`] = simulation.tally.percentile(50);
		figures[`p99 ${label}`] = p99;
		figures[`p999 ${label}`] = simulation.tally.percentile(99.9);
		figures[`ratio ${label}`] = p99 / baselineP99;
		figures[`ok ${label}`] = simulation.tally.ok / simulation.tally.offered;
		figures[`most running ${label}`] = simulation.maxRunning();
	}

	return {policy, figures};
}

function createPolicies(seed: number): ReadonlyMap<string, DispatcherFactory> {
	const roundRobin: ChooserFactory = () => new RoundRobin();
	const leastInFlight: ChooserFactory = idx => new LeastInFlight(new Random(seed, 10 + idx).rng);
	const powerOfTwo: ChooserFactory = idx => new PowerOfTwo(new Random(seed, 10 + idx).rng);
	const viaSteward = (overrides: Partial<StewardPolicy>): DispatcherFactory => simulation => new StewardDispatch(simulation, {
		chooser: powerOfTwo, setAside: false, hedge: false, tries: 0, heartbeatMs, ...overrides,
	});
	return new Map<string, DispatcherFactory>([
		['direct, round robin', simulation => new DirectDispatch(simulation, roundRobin)],
		['direct, least in flight', simulation => new DirectDispatch(simulation, leastInFlight)],
		['steward, round robin', viaSteward({chooser: roundRobin})],
		['steward, power of two', viaSteward({})],
		['steward, power of two, set aside', viaSteward({setAside: true})],
		['steward, power of two, set aside, hedge', viaSteward({setAside: true, hedge: true})],
		['steward, power of two, set aside, tries', viaSteward({setAside: true, tries: 2})],
		[chosenPolicy, viaSteward({setAside: true, tries: 2, hedge: true})],
		['steward, own evidence only, tries, hedge', viaSteward({
			setAside: true, tries: 2, hedge: true, heartbeatMs: 0,
		})],
		['steward, least in flight, set aside, hedge', viaSteward({chooser: leastInFlight, setAside: true, hedge: true})],
	]);
}
