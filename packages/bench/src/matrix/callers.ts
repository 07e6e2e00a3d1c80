import {CallerOutcome, type Forwarded} from './desk.js';
import type {Host} from './host.js';
import type {Surroundings} from './surroundings.js';
import type {Rng} from './rng.js';
import type {Site} from './site.js';

const callerTimeoutMs = 600;
const retryDelayMs = 120;
const maxAttempts = 4;

/** Simulated callers: each request goes to a random running instance and is retried until it is done or out of attempts. */
export class Callers {
	/** Simulation time of the last completed request, by shard. */
	readonly servedAt = new Map<string, number>();
	private requestCount = 0;

	private readonly node: Site;
	private readonly context: Surroundings;
	private readonly rng: Rng;
	private readonly trueNow: () => number;

	constructor(site: Site, around: Surroundings, rng: Rng, trueNow: () => number) {
		this.node = site;
		this.context = around;
		this.rng = rng;
		this.trueNow = trueNow;
	}

	/** Sends one request for a shard. */
	send(pool: string, shard: number): void {
		this.requestCount += 1;
		this.attempt({
			request: `r${this.requestCount}`, attempt: '', isOnce: this.rng.chance(0.5), pool, shard,
		}, 1);
	}

	private attempt(req: Forwarded, attemptNumber: number): void {
		const attempt = {...req, attempt: `${req.request}/${attemptNumber}`};
		const hosts = [...this.context.hosts.values()].filter(host => host.site.isRunning);
		if (hosts.length === 0) {
			return;
		}

		this.forward(this.rng.pick(hosts), attempt, outcome => {
			this.handleOutcome(attempt, outcome, attemptNumber);
		});
	}

	private handleOutcome(req: Forwarded, outcome: CallerOutcome, attemptNumber: number): void {
		if (outcome === CallerOutcome.Done) {
			this.servedAt.set(`${req.pool}/${req.shard}`, this.trueNow());
			return;
		}

		if (outcome === CallerOutcome.NotRun) {
			this.context.watcher.attemptRefused(req.attempt);
		}

		if (attemptNumber < maxAttempts) {
			this.node.after(retryDelayMs, () => {
				this.attempt(req, attemptNumber + 1);
			});
		}
	}

	/** The entry instance looks up the steward of the shard's owner and forwards the request to it. */
	private forward(entry: Host, req: Forwarded, onOutcome: (outcome: CallerOutcome) => void): void {
		const tables = entry.member?.tables;
		const owner = tables?.pools.get(req.pool)?.shards[req.shard]?.owner ?? '';
		const steward = tables?.targets.get(owner)?.steward ?? '';
		const host = this.context.hosts.get(steward.split('#')[0]);
		if (host === undefined || host.member?.id !== steward) {
			onOutcome(CallerOutcome.NotRun);
			return;
		}

		const {network} = this.context;
		let isOver = false;
		const finish = (outcome: CallerOutcome) => {
			if (!isOver) {
				isOver = true;
				onOutcome(outcome);
			}
		};

		network.send(entry.site, host.site, () => {
			host.desk.handle(req, outcome => {
				network.send(host.site, entry.site, () => {
					finish(outcome);
				});
			});
		});
		this.node.after(callerTimeoutMs, () => {
			finish(CallerOutcome.Unknown);
		});
	}
}
