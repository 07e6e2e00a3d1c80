import {CallerOutcome, type ForwardedRequest} from './order-dispatcher.js';
import type {SimulatedInstance} from './simulated-instance.js';
import type {SimulationContext} from './simulation-context.js';
import type {Rng} from './rng.js';
import type {SimulatedNode} from './simulated-node.js';

const callerTimeoutMs = 600;
const retryDelayMs = 120;
const maxAttempts = 4;

/** Simulated callers: each request goes to a random running instance and is retried until it is done or out of attempts. */
export class Callers {
	/** Simulation time of the last completed request, by shard. */
	readonly servedAt = new Map<string, number>();
	private requestCount = 0;

	private readonly node: SimulatedNode;
	private readonly context: SimulationContext;
	private readonly rng: Rng;
	private readonly trueNow: () => number;

	constructor(site: SimulatedNode, around: SimulationContext, rng: Rng, trueNow: () => number) {
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

	private attempt(req: ForwardedRequest, attemptNumber: number): void {
		const attempt = {...req, attempt: `${req.request}/${attemptNumber}`};
		const hosts = [...this.context.instances.values()].filter(host => host.node.isRunning);
		if (hosts.length === 0) {
			return;
		}

		this.forward(this.rng.pick(hosts), attempt, outcome => {
			this.handleOutcome(attempt, outcome, attemptNumber);
		});
	}

	private handleOutcome(req: ForwardedRequest, outcome: CallerOutcome, attemptNumber: number): void {
		if (outcome === CallerOutcome.Done) {
			this.servedAt.set(`${req.pool}/${req.shard}`, this.trueNow());
			return;
		}

		if (outcome === CallerOutcome.NotRun) {
			this.context.checker.recordAttemptRefused(req.attempt);
		}

		if (attemptNumber < maxAttempts) {
			this.node.schedule(retryDelayMs, () => {
				this.attempt(req, attemptNumber + 1);
			});
		}
	}

	/** The entry instance looks up the steward of the shard's owner and forwards the request to it. */
	private forward(entry: SimulatedInstance, req: ForwardedRequest, onOutcome: (outcome: CallerOutcome) => void): void {
		const tables = entry.member?.tables;
		const owner = tables?.pools.get(req.pool)?.shards[req.shard]?.owner ?? '';
		const steward = tables?.targets.get(owner)?.steward ?? '';
		const host = this.context.instances.get(steward.split('#')[0]);
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

		network.send(entry.node, host.node, () => {
			host.dispatcher.handleRequest(req, outcome => {
				network.send(host.node, entry.node, () => {
					finish(outcome);
				});
			});
		});
		this.node.schedule(callerTimeoutMs, () => {
			finish(CallerOutcome.Unknown);
		});
	}
}
