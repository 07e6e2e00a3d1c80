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
/** Requests a second. */
const rate = 120;

const statusSchema = z.object({
	instance: z.string(),
	config: z.number(),
	ready: z.boolean(),
	targets: z.array(z.object({
		target: z.string(), domain: z.string(), steward: z.string(), state: z.string(), shards: z.number(),
	})),
});

/** What one instance says about itself and the targets. */
export type InstanceStatus = z.infer<typeof statusSchema>;

/** Load of one part of a cell. */
export type CellLoad = {
	readonly durationMs: number;
	/** Most repeats of a request whose result is not ok. */
	readonly repeats: number;
};

/** A deployment under faults, and all that its callers saw. */
export class CellHarness {
	/** Starts a deployment and waits until it serves all keys. */
	static async start(): Promise<CellHarness> {
		const site = new CellHarness(await startDeployment(cellTopology));
		try {
			await site.waitUntilSettled();
			return site;
		} catch (err) {
			await site.stop();
			throw err;
		}
	}

	readonly views: CallerView[] = [];
	readonly deployment: Deployment;
	private seed = 1;

	private constructor(deployment: Deployment) {
		this.deployment = deployment;
	}

	/** Stops everything. */
	async stop(): Promise<void> {
		await this.deployment.stop();
	}

	/** Waits until each instance is ready and answers requests for all keys. */
	async waitUntilSettled(): Promise<void> {
		await this.waitUntil('all instances are ready', all => all.every(status => status?.ready));
		await Promise.all(this.deployment.callerAddrs.map(async addr => settleAt(addr)));
	}

	/** Sends load to the addresses of this moment; resolves with the views when the last result is known. */
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

	/** Sends load and brings a fault about while it runs. */
	async sendLoadDuring(load: CellLoad, fault: () => Promise<void>): Promise<CallerView[]> {
		const [views] = await Promise.all([this.sendLoad(load), fault()]);
		return views;
	}

	/** Status of one instance; undefined without an answer. */
	async fetchStatus(name: string): Promise<InstanceStatus | undefined> {
		const {controlAddr} = this.deployment.instances.get(name)!;
		const silence = sleep(statusTimeoutMs, undefined, {ref: false});
		const answer = await Promise.race([call(controlAddr, '/status').catch(() => undefined), silence]);
		return answer?.status === 200 ? statusSchema.parse(answer.json()) : undefined;
	}

	/** Status of all instances that should run. */
	async fetchStatuses(): Promise<Array<InstanceStatus | undefined>> {
		return Promise.all([...this.deployment.instances.keys()].map(async name => this.fetchStatus(name)));
	}

	/** Waits until the statuses are as wanted; throws, with the last ones, when that takes too long. */
	async waitUntil(what: string, isSo: (statuses: ReadonlyArray<InstanceStatus | undefined>) => boolean): Promise<void> {
		const deadline = machineClock.now() + waitTimeoutMs;
		let statuses = await this.fetchStatuses();
		while (!isSo(statuses)) {
			if (machineClock.now() > deadline) {
				throw new Error(`Waited in vain until ${what}: ${JSON.stringify(statuses)}`);
			}

			// eslint-disable-next-line no-await-in-loop -- polls
			await sleep(pollPeriodMs);
			// eslint-disable-next-line no-await-in-loop -- polls
			statuses = await this.fetchStatuses();
		}
	}

	/** Name of the instance that is the steward of a target, and the id of its process life. */
	async findSteward(target: string): Promise<{name: string; id: string}> {
		const statuses = await this.fetchStatuses();
		const rows = statuses.flatMap(status => status?.targets ?? []);
		const id = rows.find(row => row.target === target)!.steward;
		return {name: id.split('#')[0], id};
	}

	/** Offsets of the configurations in force at the instances; one when they agree. */
	async fetchConfigOffsets(): Promise<number[]> {
		const statuses = await this.fetchStatuses();
		return [...new Set(statuses.map(status => status?.config ?? 0))];
	}

	/** Orders of all targets in a failure domain. */
	async fetchOrders(domain: string): Promise<LedgerEntry[]> {
		const dumps = await this.deployment.fetchLedgers();
		const {targets} = this.deployment;
		return dumps.filter(({target}) => targets.get(target)?.plan.domain === domain).flatMap(({entries}) => entries);
	}

	/** Checks all that callers saw so far against all that targets did. */
	async checkLedgers(): Promise<LedgerReport> {
		return checkLedger(await this.deployment.fetchLedgers(), this.views);
	}
}

/** Waits until an instance answered each path; the next path is tried once the one before was answered. */
async function settleAt(addr: string): Promise<void> {
	const deadline = machineClock.now() + waitTimeoutMs;
	for (const path of cellProbePaths) {
		// eslint-disable-next-line no-await-in-loop -- one path after the other
		await untilAnswered(addr, path, deadline);
	}
}

async function untilAnswered(addr: string, path: string, deadline: number): Promise<void> {
	for (;;) {
		// eslint-disable-next-line no-await-in-loop -- polls
		const answer = await call(addr, path).catch(() => undefined);
		if (answer?.status === 200) {
			return;
		}

		if (machineClock.now() > deadline) {
			throw new Error(`${path} at ${addr} was not answered: ${String(answer?.headers['x-reason'] ?? answer?.status)}`);
		}

		// eslint-disable-next-line no-await-in-loop -- polls
		await sleep(pollPeriodMs);
	}
}

/** Last attempt of each request. */
export function getLastAttempts(views: readonly CallerView[]): Attempt[] {
	return views.map(view => view.attempts.at(-1)!);
}

/** Results other than ok, as `result reason`, of the last attempts. */
export function listFailures(views: readonly CallerView[]): string[] {
	return getLastAttempts(views)
		.filter(({reason}) => reason !== '')
		.map(({result, reason}) => `${result} ${reason}`);
}
