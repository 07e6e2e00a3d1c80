import {setTimeout as sleep} from 'node:timers/promises';
import {call, machineClock, type LedgerEntry} from '@bluebellyard/standins';
import {z} from 'zod';
import {startDeployment, type Deployment} from '../deployment/index.js';
import {checkLedger, type LedgerReport} from '../ledger/index.js';
import {
	Balancer, Caller, LoadGenerator, RequestPlan, type Attempt, type CallerView,
} from '../load/index.js';
import {cellPlan, cellProbePaths, cellTopology} from './topology.js';

const pollPeriodMs = 50;
const waitTimeoutMs = 30_000;
const callerTimeoutMs = 3000;
const statusTimeoutMs = 2000;
/** Requests per second. */
const rate = 120;

const statusSchema = z.object({
	instance: z.string(),
	config: z.number(),
	ready: z.boolean(),
	targets: z.array(z.object({
		target: z.string(), domain: z.string(), steward: z.string(), state: z.string(), shards: z.number(),
	})),
});

/** Status of an instance and of the targets as it sees them. */
export type InstanceStatus = z.infer<typeof statusSchema>;

/** Load for one phase of a cell. */
export type CellLoad = {
	readonly durationMs: number;
	/** Maximum number of retries of a request whose result is not ok. */
	readonly repeats: number;
};

/** A deployment for fault tests, with the results that its callers received. */
export class CellHarness {
	/** Starts a deployment and waits until it serves all keys. Stops it if that fails. */
	static async start(): Promise<CellHarness> {
		const harness = new CellHarness(await startDeployment(cellTopology));
		try {
			await harness.waitUntilSettled();
			return harness;
		} catch (err) {
			harness.keepFiles();
			await harness.stop();
			throw err;
		}
	}

	readonly views: CallerView[] = [];
	readonly deployment: Deployment;
	private seed = 1;
	private keepsFiles = false;

	private constructor(deployment: Deployment) {
		this.deployment = deployment;
	}

	/** Keeps what the processes wrote, and the views of the callers, when the deployment stops. */
	keepFiles(): void {
		this.keepsFiles = true;
	}

	/** Stops all processes of the deployment. */
	async stop(): Promise<void> {
		if (this.keepsFiles) {
			this.deployment.writeRecord('caller-views.json', this.views);
		}

		await this.deployment.stop({keepsFiles: this.keepsFiles});
	}

	/** Waits until every instance is ready and answers the probe paths. */
	async waitUntilSettled(): Promise<void> {
		await this.waitUntil('all instances are ready', all => all.every(status => status?.ready));
		await Promise.all(this.deployment.callerAddrs.map(async addr => probeAll(addr)));
	}

	/** Sends load to the current caller addresses. Resolves with the caller views when the last result is known. */
	async sendLoad({durationMs, repeats}: CellLoad): Promise<CallerView[]> {
		const balancer = new Balancer(this.deployment.callerAddrs);
		const options = {
			rate, durationMs, repeats, seed: this.seed++,
		};
		const generator = new LoadGenerator(new Caller(balancer, callerTimeoutMs), new RequestPlan(cellPlan), options);
		const views = await generator.run();
		await balancer.close();
		this.views.push(...views);
		return views;
	}

	/** Sends load and injects a fault meanwhile. */
	async sendLoadDuring(load: CellLoad, fault: () => Promise<void>): Promise<CallerView[]> {
		const [views] = await Promise.all([this.sendLoad(load), fault()]);
		return views;
	}

	/** Returns the status of an instance, or undefined if it does not answer in time. */
	async fetchStatus(name: string): Promise<InstanceStatus | undefined> {
		const {controlAddr} = this.deployment.instances.get(name)!;
		const timeout = sleep(statusTimeoutMs, undefined, {ref: false});
		const answer = await Promise.race([call(controlAddr, '/status').catch(() => undefined), timeout]);
		return answer?.status === 200 ? statusSchema.parse(answer.json()) : undefined;
	}

	/** Returns the status of all instances that should be running. */
	async fetchStatuses(): Promise<Array<InstanceStatus | undefined>> {
		return Promise.all([...this.deployment.instances.keys()].map(async name => this.fetchStatus(name)));
	}

	/** Waits until a condition on the statuses holds. On timeout, throws an error with the last statuses. */
	async waitUntil(condition: string, isMet: (statuses: ReadonlyArray<InstanceStatus | undefined>) => boolean): Promise<void> {
		const deadline = machineClock.now() + waitTimeoutMs;
		let statuses = await this.fetchStatuses();
		while (!isMet(statuses)) {
			if (machineClock.now() > deadline) {
				throw new Error(`Timed out waiting until ${condition}: ${JSON.stringify(statuses)}`);
			}

			// eslint-disable-next-line no-await-in-loop -- polls
			await sleep(pollPeriodMs);
			// eslint-disable-next-line no-await-in-loop -- polls
			statuses = await this.fetchStatuses();
		}
	}

	/** Returns the name of the instance that is the steward of a target, and the id of its incarnation. */
	async fetchSteward(target: string): Promise<{name: string; id: string}> {
		const statuses = await this.fetchStatuses();
		const rows = statuses.flatMap(status => status?.targets ?? []);
		const id = rows.find(row => row.target === target)!.steward;
		return {name: id.split('#')[0], id};
	}

	/** Returns the distinct offsets of the configurations in force at the instances; a single one if they agree. */
	async fetchConfigOffsets(): Promise<number[]> {
		const statuses = await this.fetchStatuses();
		return [...new Set(statuses.map(status => status?.config ?? 0))];
	}

	/** Returns the ledger entries of all targets in a failure domain. */
	async fetchOrders(domain: string): Promise<LedgerEntry[]> {
		const dumps = await this.deployment.fetchLedgers();
		const {targets} = this.deployment;
		return dumps.filter(({target}) => targets.get(target)?.plan.domain === domain).flatMap(({entries}) => entries);
	}

	/** Checks all caller views so far against the ledgers of the targets. */
	async checkLedgers(): Promise<LedgerReport> {
		return checkLedger(await this.deployment.fetchLedgers(), this.views);
	}
}

/** Waits until an instance has answered each path, one path after another. */
async function probeAll(addr: string): Promise<void> {
	const deadline = machineClock.now() + waitTimeoutMs;
	for (const path of cellProbePaths) {
		// eslint-disable-next-line no-await-in-loop -- one path after another
		await waitUntilAnswered(addr, path, deadline);
	}
}

async function waitUntilAnswered(addr: string, path: string, deadline: number): Promise<void> {
	for (;;) {
		// eslint-disable-next-line no-await-in-loop -- polls
		const answer = await call(addr, path).catch(() => undefined);
		if (answer?.status === 200) {
			return;
		}

		if (machineClock.now() > deadline) {
			throw new Error(`${path} at ${addr} was not answered in time: ${String(answer?.headers['x-reason'] ?? answer?.status)}`);
		}

		// eslint-disable-next-line no-await-in-loop -- polls
		await sleep(pollPeriodMs);
	}
}

/** Returns the last attempt of each request. */
export function getLastAttempts(views: readonly CallerView[]): Attempt[] {
	return views.map(view => view.attempts.at(-1)!);
}

/** Returns the last attempts that did not succeed, formatted as `result reason`. */
export function listFailures(views: readonly CallerView[]): string[] {
	return getLastAttempts(views)
		.filter(({reason}) => reason !== '')
		.map(({result, reason}) => `${result} ${reason}`);
}
