import {randomUUID} from 'node:crypto';
import {setTimeout as sleep} from 'node:timers/promises';
import {machineClock} from '@bluebellyard/standins';
import {
	Random, type Attempt, type Caller, type CallerView, type PlannedRequest,
} from '../load/index.js';

/** Sends idempotent requests for a set of keys, each key at a fixed period, until it is stopped. */
export class Prober {
	readonly views: CallerView[] = [];
	private readonly caller: Caller;
	private readonly periodMs: number;
	private readonly phases: ReadonlyMap<string, number>;
	private isStopped = false;
	private count = 0;

	constructor(caller: Caller, keys: readonly string[], periodMs: number, seed: number) {
		const random = new Random(seed);
		this.caller = caller;
		this.periodMs = periodMs;
		this.phases = new Map(keys.map(key => [key, random.uniform() * periodMs]));
	}

	/** Probes of one key, in the order of their results. */
	getAttempts(key: string): Attempt[] {
		return this.views.filter(view => view.key === key).flatMap(view => view.attempts);
	}

	/** Probes until `stop`; resolves when the last result is known. */
	async run(): Promise<void> {
		const start = machineClock.now();
		await Promise.all([...this.phases].map(async ([key, phase]) => this.probeKey(key, start + phase)));
	}

	/** Sends no further probes. */
	stop(): void {
		this.isStopped = true;
	}

	private async probeKey(key: string, first: number): Promise<void> {
		const pending: Array<Promise<void>> = [];
		let scheduledAt = first;
		while (!this.isStopped) {
			// eslint-disable-next-line no-await-in-loop -- probes have a period
			await sleep(Math.max(scheduledAt - machineClock.now(), 0));
			pending.push(this.probe(key, scheduledAt));
			scheduledAt += this.periodMs;
		}

		await Promise.all(pending);
	}

	private async probe(key: string, scheduledAt: number): Promise<void> {
		this.count++;
		const request: PlannedRequest = {
			id: randomUUID(),
			caller: `prober-${key}`,
			method: 'GET',
			path: `/tickets/${key}?n=${this.count}`,
			key,
			isOnce: false,
			body: '',
		};
		const attempt = await this.caller.attempt(request, scheduledAt);
		this.views.push({
			id: request.id, line: `GET ${request.path}`, key, isOnce: false, attempts: [attempt],
		});
	}
}
