import {CallerOutcome, type ForwardedRequest} from './order-dispatcher.js';
import type {SimulatedInstance} from './simulated-instance.js';
import type {SimulationContext} from './simulation-context.js';
import type {Rng} from './rng.js';
import type {SimulatedNode} from './simulated-node.js';

const timeoutMs = 600;
const repeatMs = 120;
const maxAttempts = 4;

/** Callers that send requests to any instance and repeat those that were not done. */
export class Callers {
	/** True time of the last request done, by shard. */
	readonly servedAt = new Map<string, number>();
	private count = 0;

	private readonly site: SimulatedNode;
	private readonly around: SimulationContext;
	private readonly rng: Rng;
	private readonly trueNow: () => number;

	constructor(site: SimulatedNode, around: SimulationContext, rng: Rng, trueNow: () => number) {
		this.site = site;
		this.around = around;
		this.rng = rng;
		this.trueNow = trueNow;
	}

	/** Sends one request for a shard. */
	send(pool: string, shard: number): void {
		this.count += 1;
		this.attempt({
			request: `r${this.count}`, attempt: '', isOnce: this.rng.chance(0.5), pool, shard,
		}, 1);
	}

	private attempt(req: ForwardedRequest, count: number): void {
		const attempt = {...req, attempt: `${req.request}/${count}`};
		const hosts = [...this.around.instances.values()].filter(host => host.node.isRunning);
		if (hosts.length === 0) {
			return;
		}

		this.forward(this.rng.pick(hosts), attempt, outcome => {
			this.takeOutcome(attempt, outcome, count);
		});
	}

	private takeOutcome(req: ForwardedRequest, outcome: CallerOutcome, count: number): void {
		if (outcome === CallerOutcome.Done) {
			this.servedAt.set(`${req.pool}/${req.shard}`, this.trueNow());
			return;
		}

		if (outcome === CallerOutcome.NotRun) {
			this.around.checker.recordAttemptRefused(req.attempt);
		}

		if (count < maxAttempts) {
			this.site.schedule(repeatMs, () => {
				this.attempt(req, count + 1);
			});
		}
	}

	/** The entry looks up the steward and passes the request on to it. */
	private forward(entry: SimulatedInstance, req: ForwardedRequest, tell: (outcome: CallerOutcome) => void): void {
		const tables = entry.member?.tables;
		const owner = tables?.pools.get(req.pool)?.shards[req.shard]?.owner ?? '';
		const steward = tables?.targets.get(owner)?.steward ?? '';
		const host = this.around.instances.get(steward.split('#')[0]);
		if (host === undefined || host.member?.id !== steward) {
			tell(CallerOutcome.NotRun);
			return;
		}

		const {network} = this.around;
		let isOver = false;
		const end = (outcome: CallerOutcome) => {
			if (!isOver) {
				isOver = true;
				tell(outcome);
			}
		};

		network.send(entry.node, host.node, () => {
			host.dispatcher.handleRequest(req, outcome => {
				network.send(host.node, entry.node, () => {
					end(outcome);
				});
			});
		});
		this.site.schedule(timeoutMs, () => {
			end(CallerOutcome.Unknown);
		});
	}
}
