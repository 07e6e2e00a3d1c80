import {LeastInFlight, PowerOfTwo, RoundRobin} from '@bluebellyard/core';
import {DirectDispatcher, type SelectorFactory} from './direct-dispatcher.js';
import type {Dispatcher} from './dispatcher.js';
import {Random} from './random.js';
import {atMost, type ExperimentReport, type PolicyRow} from './report.js';
import {auditPoolCfg, SharedPoolSimulation, type SharedPoolCfg} from './shared-pool-simulation.js';
import {StewardDispatcher, type StewardDispatcherOptions} from './steward-dispatcher.js';

/** How much slower a slowed target is. */
const slowFactor = 10;

/** Time after which other targets are slow, in milliseconds. */
const moveEveryMs = 4000;

/** Largest ratio of the slowed p99 to the unslowed one. */
const p99Aim = 1.5;

/** Time between heartbeats, in milliseconds. */
const heartbeatMs = 100;

/** Policy whose figures are held against the aim. */
const chosenPolicy = 'steward, power of two, set aside, tries, hedge';

const shares: ReadonlyArray<[string, number]> = [['none', 0], ['10%', 0.1], ['25%', 0.25]];

type MakeDispatch = (world: SharedPoolSimulation) => Dispatcher;

/** Targets of the shared pool 10 times slower, in turn, under several policies. */
export function runStragglers(seed: number): ExperimentReport {
	const cfg = {...auditPoolCfg, seed, durationMs: 18_000};
	const rows = [...policiesOf(seed)].map(([name, make]) => runRow(name, make, cfg));
	const chosen = rows.find(row => row.policy === chosenPolicy);
	const aims = shares.slice(1).map(([share]) =>
		atMost(`p99 ratio, ${share} slow`, chosen?.figures[`ratio ${share}`] ?? Number.NaN, p99Aim));
	return {name: 'shared stragglers', rows, aims};
}

function runRow(policy: string, make: MakeDispatch, cfg: SharedPoolCfg): PolicyRow {
	const figures: Record<string, number> = {};
	let unslowed = 0;
	for (const [share, part] of shares) {
		const world = new SharedPoolSimulation(cfg);
		const dispatch = make(world);
		world.rotateSlowTargets(Math.round(cfg.targets * part), slowFactor, moveEveryMs);
		world.startCallers(req => {
			dispatch.send(req);
		});
		world.run();
		const p99 = world.statistics.percentile(99);
		unslowed = part === 0 ? p99 : unslowed;
		figures[`p50 ${share}`] = world.statistics.percentile(50);
		figures[`p99 ${share}`] = p99;
		figures[`p999 ${share}`] = world.statistics.percentile(99.9);
		figures[`ratio ${share}`] = p99 / unslowed;
		figures[`ok ${share}`] = world.statistics.ok / world.statistics.offered;
		figures[`most running ${share}`] = world.maxRunning();
	}

	return {policy, figures};
}

function policiesOf(seed: number): ReadonlyMap<string, MakeDispatch> {
	const roundRobin: SelectorFactory = () => new RoundRobin();
	const least: SelectorFactory = i => new LeastInFlight(new Random(seed, 10 + i).rng);
	const powerOfTwo: SelectorFactory = i => new PowerOfTwo(new Random(seed, 10 + i).rng);
	const steward = (rest: Partial<StewardDispatcherOptions>): MakeDispatch => world => new StewardDispatcher(world, {
		selector: powerOfTwo, setAside: false, hedge: false, immediateTries: 0, heartbeatMs, ...rest,
	});
	return new Map<string, MakeDispatch>([
		['direct, round robin', world => new DirectDispatcher(world, roundRobin)],
		['direct, least in flight', world => new DirectDispatcher(world, least)],
		['steward, round robin', steward({selector: roundRobin})],
		['steward, power of two', steward({})],
		['steward, power of two, set aside', steward({setAside: true})],
		['steward, power of two, set aside, hedge', steward({setAside: true, hedge: true})],
		['steward, power of two, set aside, tries', steward({setAside: true, immediateTries: 2})],
		[chosenPolicy, steward({setAside: true, immediateTries: 2, hedge: true})],
		['steward, own evidence only, tries, hedge', steward({
			setAside: true, immediateTries: 2, hedge: true, heartbeatMs: 0,
		})],
		['steward, least in flight, set aside, hedge', steward({selector: least, setAside: true, hedge: true})],
	]);
}
