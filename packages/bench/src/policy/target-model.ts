import type {EventLoop} from './event-loop.js';
import type {Random} from './random.js';

/** How a cold target warms up. */
export enum WarmUp {
	/** Capacity and speed grow with time. */
	Timed = 'timed',
	/** Capacity and speed grow with each served request. */
	Counted = 'counted',
	/** Slow and limited to one order until it suddenly becomes fully warm. */
	Sudden = 'sudden',
	/** Limited to one order until it suddenly becomes fully warm; its latencies do not show that it is cold. */
	Hidden = 'hidden',
}

/** Settings of a target model. */
export type TargetModelCfg = {
	readonly slots: number;
	/** Median service time of a warm target, in milliseconds. */
	readonly serviceMs: number;
	/** Standard deviation of the logarithm of the service time. */
	readonly sigma: number;
	readonly warmUp: WarmUp;
	/** Duration of a timed, sudden or hidden warm-up, in milliseconds. */
	readonly warmUpMs: number;
	/** Number of served requests after which a counted warm-up ends. */
	readonly warmUpRequests: number;
	/** Factor by which a fully cold target is slower. */
	readonly coldFactor: number;
};

/** Default settings of the targets in the experiments. */
export const defaultTarget: TargetModelCfg = {
	slots: 4, serviceMs: 10, sigma: 0.25, warmUp: WarmUp.Timed, warmUpMs: 4000, warmUpRequests: 200, coldFactor: 5,
};

/** Outcome of an order at the model. */
export enum ModelOutcome {
	Answered = 'answered',
	/** The target restarted while it ran the order. */
	Lost = 'lost',
}

type Order = {
	readonly done: (end: ModelOutcome) => void;
};

/**
 * Simulates a target: service times, slowdown, cold start, restart and cancellation.
 * With more running orders than slots, all orders slow down in proportion.
 */
export class TargetModel {
	/** Factor by which other load on the machine slows the target; 1 is normal. */
	slowdownFactor = 1;
	/** Number of orders received above its capacity at that time. */
	violations = 0;
	/** Largest number of orders that ran concurrently. */
	maxRunning = 0;
	/** Number of restarts so far. */
	incarnation = 0;
	private readonly loop: EventLoop;
	private readonly random: Random;
	private readonly cfg: TargetModelCfg;
	private readonly orders = new Map<string, Order>();
	private coldSinceMs = Number.NEGATIVE_INFINITY;
	private servedSinceCold = Number.POSITIVE_INFINITY;

	constructor(loop: EventLoop, random: Random, cfg: TargetModelCfg = defaultTarget) {
		this.loop = loop;
		this.random = random;
		this.cfg = cfg;
	}

	/** Number of running orders. */
	get running(): number {
		return this.orders.size;
	}

	/** Progress of the warm-up, from 0 (cold) to 1 (warm). */
	get warmUpProgress(): number {
		const {warmUp, warmUpRequests, warmUpMs} = this.cfg;
		const progress = warmUp === WarmUp.Counted ? this.servedSinceCold / warmUpRequests : (this.loop.now - this.coldSinceMs) / warmUpMs;
		const isGradual = warmUp === WarmUp.Counted || warmUp === WarmUp.Timed;
		return isGradual ? Math.min(1, progress) : Number(progress >= 1);
	}

	/** Number of orders that the target can run concurrently at present. */
	get safeConcurrency(): number {
		return 1 + Math.floor((this.cfg.slots - 1) * this.warmUpProgress);
	}

	/** Whether the target reports that it is cold. */
	get isCold(): boolean {
		return this.warmUpProgress < 1;
	}

	/** Runs an order; calls `done` at its end unless it is cancelled. */
	start(id: string, done: (end: ModelOutcome) => void): void {
		const order = {done};
		this.orders.set(id, order);
		this.violations += Number(this.running > this.safeConcurrency);
		this.maxRunning = Math.max(this.maxRunning, this.running);
		this.loop.schedule(this.drawServiceMs(), () => {
			if (this.orders.get(id) === order) {
				this.orders.delete(id);
				this.servedSinceCold += 1;
				done(ModelOutcome.Answered);
			}
		});
	}

	/** Aborts an order without calling its `done`. */
	cancel(id: string): void {
		this.orders.delete(id);
	}

	/** Makes the target cold without a restart. */
	turnCold(): void {
		this.coldSinceMs = this.loop.now;
		this.servedSinceCold = 0;
	}

	/** Restarts the target: all running orders are lost, and it is cold under a new incarnation. */
	restart(): void {
		const lost = [...this.orders.values()];
		this.orders.clear();
		this.incarnation += 1;
		this.turnCold();
		for (const order of lost) {
			order.done(ModelOutcome.Lost);
		}
	}

	private drawServiceMs(): number {
		const contention = Math.max(1, this.running / this.cfg.slots);
		const coldSlowdown = this.cfg.warmUp === WarmUp.Hidden ? 1 : 1 + ((this.cfg.coldFactor - 1) * (1 - this.warmUpProgress));
		return this.random.lognormal(this.cfg.serviceMs, this.cfg.sigma) * this.slowdownFactor * contention * coldSlowdown;
	}
}
