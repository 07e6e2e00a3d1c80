import {loadavg} from 'node:os';
import {TargetKind} from '@bluebellyard/standins';
import {
	waitUntilSettled, startDeployment, type Deployment, type PoolTopology, type Topology,
} from '../deployment/index.js';
import {checkLedger, type LedgerReport} from '../ledger/index.js';
import {
	Balancer, Caller, LatencyHistogram, LoadGenerator, RequestPlan, ResultClass, type Attempt, type CallerView, type LoadOptions,
	type PlannedRoute,
} from '../load/index.js';
import type {Goal} from '../policy/index.js';

const domains = ['north', 'middle', 'south'];
const instancesPerDomain = 2;
const keyCount = 2000;
const callerCount = 20;

/** Name of the keyed pool. */
export const keyedPool = 'tickets';

/** Name of the shared pool. */
export const sharedPool = 'parts';

/** Timeout of the callers, in milliseconds. */
export const callerTimeoutMs = 1000;

/** Route for lookups of keys of the keyed pool. */
export const lookupRoute: PlannedRoute = {
	weight: 4, method: 'GET', path: '/tickets/{key}', isOnce: false, bodyBytes: 0,
};

/** Route for requests on a key that must run at most once. */
export const closeRoute: PlannedRoute = {
	weight: 1, method: 'POST', path: '/tickets/{key}/close', isOnce: true, bodyBytes: 100,
};

/** Route for queries to the shared pool. */
export const queryRoute: PlannedRoute = {
	weight: 1, method: 'GET', path: '/parts/{key}', isOnce: false, bodyBytes: 0,
};

/** Result of an experiment, printed as JSON. */
export type ExperimentResult = {
	readonly name: string;
	readonly seed: number;
	/** Figures for each phase or policy. */
	readonly rows: ReadonlyArray<Readonly<Record<string, number | string>>>;
	readonly aims: readonly Goal[];
	readonly ledger: LedgerReport['counts'];
	/** First violations that the ledger check found. */
	readonly violations: LedgerReport['violations'];
	/** Load average of the machine over one minute. */
	readonly loadAverage: number;
};

/** Returns a topology of the given pools in three failure domains with two instances each. */
export function createTopology(pools: readonly PoolTopology[], slots: number): Topology {
	const rules = pools.map(({name, options}) => options.kind === TargetKind.Keyed
		? `pool ${name} keyed shards=96 slots=${slots} queue=32 fenced=yes timeout=5s  # bench`
		: `pool ${name} shared slots=${slots} queue=32 timeout=5s  # bench`);
	const routes = pools.flatMap(({options}) => options.kind === TargetKind.Keyed
		? ['route GET /tickets/{key} tickets  # bench', 'route POST /tickets/{key}/close tickets once  # bench']
		: ['route GET /parts/{key} parts  # bench']);
	return {
		domains, instancesPerDomain, pools, rules: [...rules, ...routes, ''].join('\n'), hasJournals: true,
	};
}

/** Runs `work` on a settled deployment; stops the deployment at the end, also after an error. */
export async function withDeployment<T>(topology: Topology, work: (deployment: Deployment) => Promise<T>): Promise<T> {
	const deployment = await startDeployment(topology);
	try {
		const paths = topology.pools.map(({name}) => name === keyedPool ? listKeyPaths() : ['/parts/k1']);
		await waitUntilSettled(deployment, paths.flat());
		return await work(deployment);
	} finally {
		await deployment.stop();
	}
}

/** Sends open-loop load to the given addresses. */
export async function sendLoad(addrs: readonly string[], routes: readonly PlannedRoute[], load: LoadOptions): Promise<CallerView[]> {
	const balancer = new Balancer(addrs);
	const plan = new RequestPlan({routes, keys: {count: keyCount, exponent: 0, shiftMs: 0}, callers: callerCount});
	const views = await new LoadGenerator(new Caller(balancer, callerTimeoutMs), plan, load).run();
	await balancer.close();
	return views;
}

/** Computes the figures of the first attempts that were scheduled from `from` until before `to`; by default of all. */
export function computeFigures(
	views: readonly CallerView[],
	from = Number.NEGATIVE_INFINITY,
	to = Number.POSITIVE_INFINITY,
): Record<string, number> {
	const attempts = views.map(view => view.attempts[0]).filter(({scheduledAt}) => scheduledAt >= from && scheduledAt < to);
	const ok = collectLatencies(attempts, ResultClass.Ok);
	const notRun = collectLatencies(attempts, ResultClass.NotRun);
	const count = (result: ResultClass): number => attempts.filter(attempt => attempt.result === result).length;
	return {
		requests: attempts.length,
		ok: count(ResultClass.Ok),
		notRun: count(ResultClass.NotRun),
		unknown: count(ResultClass.Unknown),
		wrong: count(ResultClass.Wrong) + count(ResultClass.Truncated),
		p50Ms: ok.percentile(50),
		p99Ms: ok.percentile(99),
		p999Ms: ok.percentile(99.9),
		refusalP99Ms: notRun.percentile(99),
	};
}

/** Counts the first attempts that did not end ok, by result and reason. */
export function countReasons(views: readonly CallerView[]): Record<string, number> {
	const reasons: Record<string, number> = {};
	for (const {attempts: [first]} of views) {
		if (first.result !== ResultClass.Ok) {
			const name = `${first.result} ${first.reason}`;
			reasons[name] = (reasons[name] ?? 0) + 1;
		}
	}

	return reasons;
}

/** Checks the ledgers and adds their findings and the load average to the result of an experiment. */
export async function createResult(
	deployment: Deployment,
	views: readonly CallerView[],
	rest: Pick<ExperimentResult, 'name' | 'seed' | 'rows' | 'aims'>,
): Promise<ExperimentResult> {
	const {counts, violations} = checkLedger(await deployment.fetchLedgers(), views);
	return {
		...rest, ledger: counts, violations: violations.slice(0, 5), loadAverage: loadavg()[0],
	};
}

function collectLatencies(attempts: readonly Attempt[], result: ResultClass): LatencyHistogram {
	const latencies = new LatencyHistogram();
	for (const attempt of attempts.filter(each => each.result === result)) {
		latencies.record(attempt.endedAt - attempt.scheduledAt);
	}

	return latencies;
}

function listKeyPaths(): string[] {
	return Array.from({length: 48}, (_, i) => `/tickets/k${i}`);
}
