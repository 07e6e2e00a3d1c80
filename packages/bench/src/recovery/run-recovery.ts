import {loadavg} from 'node:os';
import {setTimeout as sleep} from 'node:timers/promises';
import {machineClock, TargetKind} from '@bluebellyard/standins';
import {
	waitUntilSettled, startDeployment, type Deployment, type Topology,
} from '../deployment/index.js';
import {checkLedger, type LedgerReport} from '../ledger/index.js';
import {
	Balancer, Caller, LatencyHistogram, summarize, type LatencySummary,
} from '../load/index.js';
import {findLongestGap, type Span} from './gaps.js';
import {Prober} from './prober.js';
import {outageMs, createScenarios, type Scenario} from './scenario.js';

const keyCount = 48;
const periodMs = 50;
const quietMs = 3000;
const callerTimeoutMs = 2000;
const isolationMs = 5000;
const msPerS = 1000;

const topology: Topology = {
	domains: ['north', 'middle', 'south'],
	instancesPerDomain: 2,
	pools: [{name: 'tickets', targets: 6, options: {kind: TargetKind.Keyed, slots: 4, serviceMs: 1}}],
	rules: [
		'pool tickets keyed shards=48 slots=4 queue=64 fenced=yes timeout=2s  # bench',
		'route GET /tickets/{key} tickets  # bench',
		'',
	].join('\n'),
	settings: {timing: {isolation: `${isolationMs / msPerS}s`}},
	hasJournals: true,
};

/** Unavailable time per key in milliseconds. */
export type UnavailableTime = LatencySummary;

/** What one scenario showed. */
export type ScenarioResult = {
	readonly scenario: string;
	/** Over all keys before the fault; what the machine and the period add by themselves. */
	readonly quiet: UnavailableTime;
	/** Over all keys after the fault. */
	readonly all: UnavailableTime;
	/** Over the keys whose unavailable time is clearly longer than the longest before the fault. */
	readonly affected: UnavailableTime;
	/** Number of probes by reason, refusals only. */
	readonly refusals: Readonly<Record<string, number>>;
	readonly ledger: LedgerReport['counts'];
	/** First findings of the ledger check. */
	readonly violations: LedgerReport['violations'];
	/** Load average of the machine over a minute. */
	readonly loadAverage: number;
};

/** Result of the command. */
export type RecoveryResult = {
	readonly seed: number;
	readonly keys: number;
	readonly periodMs: number;
	/** Setting after which a silent failure domain is given up. */
	readonly isolationMs: number;
	readonly outageMs: number;
	readonly scenarios: readonly ScenarioResult[];
};

/** Measures the unavailable time per key after each kind of loss, each in a deployment of its own. */
export async function runRecovery(seed: number, only?: string): Promise<RecoveryResult> {
	const results: ScenarioResult[] = [];
	const wanted = createScenarios(isolationMs * 3).filter(({name}) => only === undefined || name === only);
	for (const scenario of wanted) {
		// eslint-disable-next-line no-await-in-loop -- one deployment at a time
		results.push(await runScenario(scenario, seed));
	}

	return {
		seed, keys: keyCount, periodMs, isolationMs, outageMs, scenarios: results,
	};
}

async function runScenario(scenario: Scenario, seed: number): Promise<ScenarioResult> {
	const deployment = await startDeployment(topology);
	try {
		const keys = Array.from({length: keyCount}, (_, i) => `k${i}`);
		await waitUntilSettled(deployment, keys.map(key => `/tickets/${key}`));
		return await watch(deployment, scenario, keys, seed);
	} finally {
		await deployment.stop();
	}
}

async function watch(deployment: Deployment, scenario: Scenario, keys: readonly string[], seed: number): Promise<ScenarioResult> {
	const balancer = new Balancer(deployment.callerAddrs);
	const prober = new Prober(new Caller(balancer, callerTimeoutMs), keys, periodMs, seed);
	const probing = prober.run();
	await sleep(periodMs);
	const start = machineClock.now();
	await sleep(quietMs);
	const faultAt = machineClock.now();
	await scenario.injectFault(deployment);
	await sleep(scenario.observationMs);
	const end = machineClock.now();
	prober.stop();
	await probing;
	await balancer.close();
	const {counts, violations} = checkLedger(await deployment.fetchLedgers(), prober.views);
	return {
		scenario: scenario.name,
		...unavailableTimes(prober, keys, {from: start, to: faultAt}, {from: faultAt, to: end}),
		refusals: refusalsOf(prober),
		ledger: counts,
		violations: violations.slice(0, 5),
		loadAverage: loadavg()[0],
	};
}

function unavailableTimes(prober: Prober, keys: readonly string[], before: Span, after: Span): Pick<ScenarioResult, 'quiet' | 'all' | 'affected'> {
	const gapsIn = (span: Span): number[] => keys.map(key => findLongestGap(prober.getAttempts(key), span, periodMs));
	const quiet = gapsIn(before);
	const all = gapsIn(after);
	const clearlyLonger = Math.max(...quiet) + (2 * periodMs);
	return {
		quiet: summaryOf(quiet),
		all: summaryOf(all),
		affected: summaryOf(all.filter(gap => gap > clearlyLonger)),
	};
}

function summaryOf(times: readonly number[]): UnavailableTime {
	const latencies = new LatencyHistogram();
	for (const time of times) {
		latencies.record(time);
	}

	return latencies.summary;
}

function refusalsOf(prober: Prober): Record<string, number> {
	const {classes} = summarize(prober.views);
	return {...classes['not-run'].reasons, ...classes.unknown.reasons};
}
