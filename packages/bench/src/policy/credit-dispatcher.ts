import {Dispatcher} from './dispatcher.js';
import type {SharedPoolSimulation, SimRequest} from './shared-pool-simulation.js';
import {Random} from './random.js';

/** Times in a row that an instance may use a credit before it gives it back. */
const usesPerCredit = 8;

type Steward = {
	free: number;
	/** Instances that wait for a credit, first come first served. */
	readonly asked: number[];
};

/**
 * A steward for each target lends its slots; the instance sends straight to the target while it holds one.
 * An instance asks one steward for each waiting request, the less asked of two.
 */
export class CreditDispatcher extends Dispatcher {
	private readonly stewards: Steward[];
	private readonly waiting: SimRequest[][];
	private readonly asking: number[][];
	private readonly random: Random;

	constructor(world: SharedPoolSimulation) {
		super(world);
		const {instances, targets, target, seed} = world.cfg;
		this.random = new Random(seed, 2);
		this.stewards = Array.from({length: targets}, () => ({free: target.slots, asked: []}));
		this.waiting = Array.from({length: instances}, () => []);
		this.asking = Array.from({length: instances}, () => Array.from({length: targets}, () => 0));
	}

	override send(req: SimRequest): void {
		const {loop, cfg} = this.simulation;
		const [a, b] = this.random.sample(cfg.targets, 2);
		const asking = this.asking[req.instance];
		const target = asking[b] < asking[a] ? b : a;
		asking[target] += 1;
		this.waiting[req.instance].push(req);
		loop.schedule(cfg.networkDelayMs, () => {
			this.stewards[target].asked.push(req.instance);
			this.lend(target);
		});
	}

	private lend(target: number): void {
		const steward = this.stewards[target];
		const instance = steward.free > 0 ? steward.asked.shift() : undefined;
		if (instance === undefined) {
			return;
		}

		steward.free -= 1;
		this.simulation.loop.schedule(this.simulation.cfg.networkDelayMs, () => {
			this.asking[instance][target] -= 1;
			this.use(instance, target, usesPerCredit);
		});
	}

	private use(instance: number, target: number, uses: number): void {
		const {loop, cfg, targets} = this.simulation;
		const req = uses > 0 ? this.waiting[instance].shift() : undefined;
		if (req === undefined) {
			loop.schedule(cfg.networkDelayMs, () => {
				this.stewards[target].free += 1;
				this.lend(target);
			});
			return;
		}

		loop.schedule(cfg.networkDelayMs, () => {
			targets[target].start(req.id, () => {
				loop.schedule(cfg.networkDelayMs, () => {
					this.simulation.recordAnswer(req);
					this.use(instance, target, uses - 1);
				});
			});
		});
	}
}
