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
	private readonly simulationNow: () => number;

	constructor(node: SimulatedNode, context: SimulationContext, rng: Rng, simulationNow: () => number) {
		this.node = node;
		this.context = context;
		this.rng = rng;
		this.simulationNow = simulationNow;
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
		const instances = [...this.context.instances.values()].filter(instance => instance.node.isRunning);
		if (instances.length === 0) {
			return;
		}

		this.forward(this.rng.pick(instances), attempt, outcome => {
			this.handleOutcome(attempt, outcome, attemptNumber);
		});
	}

	private handleOutcome(req: ForwardedRequest, outcome: CallerOutcome, attemptNumber: number): void {
		if (outcome === CallerOutcome.Done) {
			this.servedAt.set(`${req.pool}/${req.shard}`, this.simulationNow());
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
		const instance = this.context.instances.get(steward.split('#')[0]);
		if (instance === undefined || instance.member?.id !== steward) {
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

		network.send(entry.node, instance.node, () => {
			instance.dispatcher.handleRequest(req, outcome => {
				network.send(instance.node, entry.node, () => {
					finish(outcome);
				});
			});
		});
		this.node.schedule(callerTimeoutMs, () => {
			finish(CallerOutcome.Unknown);
		});
	}
}
