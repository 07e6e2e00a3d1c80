import {Dispatcher} from './dispatcher.js';
import type {SharedPoolSimulation, SimRequest} from './shared-pool-simulation.js';
import {Random} from './random.js';

/** Number of consecutive requests that an instance may send with one credit before it returns the credit. */
const usesPerCredit = 8;

type StewardState = {
	freeCredits: number;
	/** Instances that wait for a credit, in order of arrival. */
	readonly waitingInstances: number[];
};

/**
 * The steward of each target grants its slots to instances as credits; an instance with a credit sends
 * directly to the target. For each waiting request, an instance requests a credit from one of two randomly
 * chosen stewards: the one with fewer pending requests of this instance for a credit.
 */
export class CreditDispatcher extends Dispatcher {
	private readonly stewards: StewardState[];
	private readonly waiting: SimRequest[][];
	private readonly pendingCredits: number[][];
	private readonly random: Random;

	constructor(simulation: SharedPoolSimulation) {
		super(simulation);
		const {instances, targets, target, seed} = simulation.cfg;
		this.random = new Random(seed, 2);
		this.stewards = Array.from({length: targets}, () => ({freeCredits: target.slots, waitingInstances: []}));
		this.waiting = Array.from({length: instances}, () => []);
		this.pendingCredits = Array.from({length: instances}, () => Array.from({length: targets}, () => 0));
	}

	override send(req: SimRequest): void {
		const {loop, cfg} = this.simulation;
		const [first, second] = this.random.sample(cfg.targets, 2);
		const pending = this.pendingCredits[req.instance];
		const target = pending[second] < pending[first] ? second : first;
		pending[target] += 1;
		this.waiting[req.instance].push(req);
		loop.schedule(cfg.networkDelayMs, () => {
			this.stewards[target].waitingInstances.push(req.instance);
			this.grantCredit(target);
		});
	}

	private grantCredit(target: number): void {
		const steward = this.stewards[target];
		const instance = steward.freeCredits > 0 ? steward.waitingInstances.shift() : undefined;
		if (instance === undefined) {
			return;
		}

		steward.freeCredits -= 1;
		this.simulation.loop.schedule(this.simulation.cfg.networkDelayMs, () => {
			this.pendingCredits[instance][target] -= 1;
			this.useCredit(instance, target, usesPerCredit);
		});
	}

	private useCredit(instance: number, target: number, usesLeft: number): void {
		const {loop, cfg, targets} = this.simulation;
		const req = usesLeft > 0 ? this.waiting[instance].shift() : undefined;
		if (req === undefined) {
			loop.schedule(cfg.networkDelayMs, () => {
				this.stewards[target].freeCredits += 1;
				this.grantCredit(target);
			});
			return;
		}

		loop.schedule(cfg.networkDelayMs, () => {
			targets[target].start(req.id, () => {
				loop.schedule(cfg.networkDelayMs, () => {
					this.simulation.recordAnswer(req);
					this.useCredit(instance, target, usesLeft - 1);
				});
			});
		});
	}
}
