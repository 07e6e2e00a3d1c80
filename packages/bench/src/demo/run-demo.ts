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

/** What the demo showed. */
export type DemoResult = {
	readonly summary: LoadSummary;
	readonly report: LedgerReport;
};

/** Says what happens, one line a step. */
export type PrintLine = (line: string) => void;

/** Runs a small deployment under load and faults; everything is stopped at the end. */
export async function runDemo(say: PrintLine): Promise<DemoResult> {
	const {domains, instancesPerDomain, pools} = demoTopology;
	const targets = pools.map(pool => `${pool.targets} targets of ${pool.name}`).join(', ');
	say(`Starting a log, a membership list, ${domains.length} failure domains with ${instancesPerDomain} instances each, ${targets}.`);
	const deployment = await startDeployment(demoTopology);
	try {
		await waitUntilSettled(deployment, demoProbePaths);
		say(`Rules are published and in force. Sending ${load.rate} requests a second for ${load.durationMs / 1000} s.`);
		const [views] = await Promise.all([sendLoad(deployment), breakThings(deployment, say)]);
		return {summary: summarize(views), report: checkLedger(await deployment.fetchLedgers(), views)};
	} finally {
		await deployment.stop();
		say('Everything is stopped.');
	}
}

async function sendLoad(deployment: Deployment): Promise<CallerView[]> {
	const balancer = new Balancer(deployment.callerAddrs);
	const generator = new LoadGenerator(new Caller(balancer, callerTimeoutMs), new RequestPlan(demoPlan), load);
	const views = await generator.run();
	await balancer.close();
	return views;
}

async function breakThings(deployment: Deployment, say: PrintLine): Promise<void> {
	await sleep(killInstanceAtMs);
	const [instance] = deployment.instances.keys();
	await deployment.killInstance(instance);
	say(`Killed instance ${instance}.`);
	await sleep(killTargetAfterMs);
	const target = 'tickets-2';
	await deployment.killTarget(target);
	say(`Killed target ${target}.`);
}
