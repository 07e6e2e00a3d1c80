import {setTimeout as sleep} from 'node:timers/promises';
import {waitUntilSettled, startDeployment, type Deployment} from '../deployment/index.js';
import {checkLedger, type LedgerReport} from '../ledger/index.js';
import {
	Balancer, Caller, LoadGenerator, RequestPlan, summarize, type CallerView, type LoadSummary,
} from '../load/index.js';
import {demoPlan, demoProbePaths, demoTopology} from './topology.js';

const load = {
	rate: 250, durationMs: 10_000, seed: 1, repeats: 3,
};
const callerTimeoutMs = 5000;
const killInstanceAtMs = 3000;
const killTargetAfterMs = 3000;

/** Result of the demo. */
export type DemoResult = {
	readonly summary: LoadSummary;
	readonly report: LedgerReport;
};

/** Prints one line of progress. */
export type PrintLine = (line: string) => void;

/** Runs a small deployment under load, injects faults and stops all processes at the end. */
export async function runDemo(print: PrintLine): Promise<DemoResult> {
	const {domains, instancesPerDomain, pools} = demoTopology;
	const targets = pools.map(pool => `${pool.targets} targets of ${pool.name}`).join(', ');
	print(`Starting a log, a membership list, ${domains.length} failure domains with ${instancesPerDomain} instances each, and ${targets}.`);
	const deployment = await startDeployment(demoTopology);
	try {
		await waitUntilSettled(deployment, demoProbePaths);
		print(`The rules are in force. Sending ${load.rate} requests per second for ${load.durationMs / 1000} s.`);
		const [views] = await Promise.all([sendLoad(deployment), injectFaults(deployment, print)]);
		return {summary: summarize(views), report: checkLedger(await deployment.fetchLedgers(), views)};
	} finally {
		await deployment.stop();
		print('All processes have stopped.');
	}
}

async function sendLoad(deployment: Deployment): Promise<CallerView[]> {
	const balancer = new Balancer(deployment.callerAddrs);
	const generator = new LoadGenerator(new Caller(balancer, callerTimeoutMs), new RequestPlan(demoPlan), load);
	const views = await generator.run();
	await balancer.close();
	return views;
}

async function injectFaults(deployment: Deployment, print: PrintLine): Promise<void> {
	await sleep(killInstanceAtMs);
	const [instance] = deployment.instances.keys();
	await deployment.killInstance(instance);
	print(`Killed instance ${instance}.`);
	await sleep(killTargetAfterMs);
	const target = 'tickets-2';
	await deployment.killTarget(target);
	print(`Killed target ${target}.`);
}
