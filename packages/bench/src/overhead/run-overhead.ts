import {cpus, loadavg} from 'node:os';
import process from 'node:process';
import {fileURLToPath} from 'node:url';
import {
	findFreePorts, ServiceShape, TargetKind, type TargetOptions,
} from '@bluebellyard/standins';
import {
	waitUntilSettled, startChild, startDeployment, type Child, type Deployment, type Topology,
} from '../deployment/index.js';
import {scripts} from '../deployment/scripts.js';
import {buildTargetArgs} from '../deployment/target-args.js';
import {concurrency, MeasuredPath} from './measured-path.js';

const target: TargetOptions = {
	slots: 256, serviceMs: 0, serviceShape: ServiceShape.Fixed, payloadBytes: 512,
};

const topology: Topology = {
	domains: ['near', 'far'],
	instancesPerDomain: 1,
	pools: [{
		name: 'tickets', targets: 1, domains: ['near'], options: {...target, kind: TargetKind.Keyed},
	}],
	rules: [
		'pool tickets keyed shards=64 slots=256 queue=1024 fenced=yes timeout=5s  # bench',
		'route GET /tickets/{key} tickets  # bench',
		'',
	].join('\n'),
	settings: {limits: {connections: String(concurrency)}},
};

/** Options of the overhead measurement. */
export type OverheadOptions = {
	readonly seed: number;
	/** Number of measurements of each path; the paths are measured alternately. */
	readonly rounds: number;
	/** Duration of one measurement, in milliseconds. */
	readonly roundMs: number;
};

/** Cost of a path, compared to a direct call and to the pass-through. */
export type PathCost = {
	readonly p50Ms: number;
	readonly p99Ms: number;
	/** Latency added to that of a direct call, in milliseconds. */
	readonly addedP50Ms: number;
	readonly addedP99Ms: number;
	readonly perSecond: number;
	/** Requests per second of processor time of the processes on the path. */
	readonly perCoreSecond: number;
	/** Ratio of `perCoreSecond` to that of the pass-through. */
	readonly perCoreRatio: number;
	/** Number of requests that did not end ok, by reason, including the warm-up; no other figure counts them. */
	readonly others: Readonly<Record<string, number>>;
};

/** Result of the overhead command, printed as JSON. */
export type OverheadResult = OverheadOptions & {
	readonly cores: number;
	readonly node: string;
	/** Load average of the machine over one minute, at the start and at the end. */
	readonly loadAverage: readonly [number, number];
	/** Rate of the latency measurement in requests per second: half of the throughput of the slowest path. */
	readonly rate: number;
	readonly direct: {readonly p50Ms: number; readonly p99Ms: number};
	readonly passThrough: PathCost;
	/** The receiving instance is the steward of the key. */
	readonly steward: PathCost;
	/** The receiving instance forwards to the steward. */
	readonly forwarded: PathCost;
};

type Paths = Readonly<Record<'passThrough' | 'steward' | 'forwarded', MeasuredPath>>;

/** Measures the latency that the router adds to a direct call, and its throughput compared to a bare pass-through. */
export async function runOverhead(options: OverheadOptions): Promise<OverheadResult> {
	const deployment = await startDeployment(topology);
	const children: Child[] = [];
	try {
		await waitUntilSettled(deployment, Array.from({length: 64}, (_, i) => `/tickets/k${i}`));
		const directTarget = await startChild('plain', scripts.standins, buildTargetArgs({...target, kind: TargetKind.Shared}));
		children.push(directTarget);
		const passThrough = await startPassThrough(directTarget.addr);
		children.push(passThrough);
		const paths = {
			passThrough: new MeasuredPath(passThrough.addr, [passThrough]),
			...createRouterPaths(deployment),
		};
		return await measure(new MeasuredPath(directTarget.addr, []), paths, options);
	} finally {
		await Promise.all(children.map(async child => child.terminate()));
		await deployment.stop();
	}
}

async function startPassThrough(targetAddr: string): Promise<Child> {
	const [port] = await findFreePorts(1);
	const script = fileURLToPath(new URL('pass-through-main.js', import.meta.url));
	return startChild('pass-through', script, [targetAddr, String(port), String(concurrency)]);
}

function createRouterPaths(deployment: Deployment): Pick<Paths, 'steward' | 'forwarded'> {
	const near = deployment.instances.get('near-entry-1')!.child;
	const far = deployment.instances.get('far-entry-1')!.child;
	return {steward: new MeasuredPath(near.addr, [near]), forwarded: new MeasuredPath(far.addr, [near, far])};
}

async function measure(direct: MeasuredPath, paths: Paths, options: OverheadOptions): Promise<OverheadResult> {
	const {seed, rounds, roundMs} = options;
	const routedPaths = Object.values(paths);
	const loadBefore = loadavg()[0];
	for (const path of routedPaths) {
		// eslint-disable-next-line no-await-in-loop -- one path at a time
		await path.warmUp(roundMs, seed);
	}

	for (let round = 0; round < rounds; round++) {
		for (const path of routedPaths) {
			// eslint-disable-next-line no-await-in-loop -- one measurement at a time
			await path.measureThroughput(roundMs, seed + round);
		}
	}

	const rate = Math.floor(Math.min(...routedPaths.map(path => path.perSecond)) / 2);
	for (let round = 0; round < rounds; round++) {
		for (const path of [direct, ...routedPaths]) {
			// eslint-disable-next-line no-await-in-loop -- one measurement at a time
			await path.measureLatency(rate, roundMs, seed + round);
		}
	}

	const cost = (path: MeasuredPath): PathCost => computeCost(path, direct, paths.passThrough);
	return {
		...options,
		cores: cpus().length,
		node: process.version,
		loadAverage: [loadBefore, loadavg()[0]],
		rate,
		direct: {p50Ms: direct.latencies.percentile(50), p99Ms: direct.latencies.percentile(99)},
		passThrough: cost(paths.passThrough),
		steward: cost(paths.steward),
		forwarded: cost(paths.forwarded),
	};
}

function computeCost(path: MeasuredPath, direct: MeasuredPath, passThrough: MeasuredPath): PathCost {
	const {latencies, perSecond, perCoreSecond} = path;
	return {
		p50Ms: latencies.percentile(50),
		p99Ms: latencies.percentile(99),
		addedP50Ms: latencies.percentile(50) - direct.latencies.percentile(50),
		addedP99Ms: latencies.percentile(99) - direct.latencies.percentile(99),
		perSecond,
		perCoreSecond,
		perCoreRatio: perCoreSecond / passThrough.perCoreSecond,
		others: path.failuresByReason,
	};
}
