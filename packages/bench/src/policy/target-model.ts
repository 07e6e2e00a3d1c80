import type {EventLoop} from './event-loop.js';
import type {Random} from './random.js';

/** How a cold target warms up. */
export enum WarmUp {
	/** Bears more and answers faster with time. */
	Timed = 'timed',
	/** Bears more and answers faster with each request served. */
	Counted = 'counted',
	/** Slow and bears one until it is warm at once. */
	Sudden = 'sudden',
	/** Bears one until it is warm at once, with nothing to see in its latencies. */
	Hidden = 'hidden',
}

/** Settings of a target model. */
export type TargetModelCfg = {
	readonly slots: number;
	/** Median service time of a warm target, in milliseconds. */
	readonly serviceMs: number;
	/** Deviation of the logarithm of the service time. */
	readonly sigma: number;
	readonly warmUp: WarmUp;
	/** Time that a timed, sudden or hidden warm-up takes, in milliseconds. */
	readonly warmUpMs: number;
	/** Requests that a counted warm-up takes. */
	readonly warmUpRequests: number;
	/** Slowness of a wholly cold target. */
	readonly coldFactor: number;
};

/** The targets of the experiments. */
export const defaultTarget: TargetModelCfg = {
	slots: 4, serviceMs: 10, sigma: 0.25, warmUp: WarmUp.Timed, warmUpMs: 4000, warmUpRequests: 200, coldFactor: 5,
};

/** How an order ended at the model. */
export enum ModelOutcome {
	Answered = 'answered',
	/** The process restarted under it. */
	Lost = 'lost',
}

type Order = {
	readonly done: (end: ModelOutcome) => void;
};

/**
 * Small fake of a target: service times, slowness, cold start, restart, cancellation.
 * Above its slots it shares its time between the orders.
 */
export class TargetModel {
	/** Slowness because of neighbours; 1 is normal. */
	slowdownFactor = 1;
	/** Orders received above what it could bear. */
	violations = 0;
	/** Largest number of orders that ran together. */
	maxRunning = 0;
	/** Process lives so far. */
	incarnation = 0;
	private readonly loop: EventLoop;
	private readonly random: Random;
	private readonly cfg: TargetModelCfg;
	private readonly orders = new Map<string, Order>();
	private coldSince = Number.NEGATIVE_INFINITY;
	private served = Number.POSITIVE_INFINITY;

	constructor(loop: EventLoop, random: Random, cfg: TargetModelCfg = defaultTarget) {
		this.loop = loop;
		this.random = random;
		this.cfg = cfg;
	}

	/** Orders that run. */
	get running(): number {
		return this.orders.size;
	}

	/** Warmth, 0 to 1. */
	get warmUpProgress(): number {
		const {warmUp, warmUpRequests: warmCount, warmUpMs: warmMs} = this.cfg;
		const share = warmUp === WarmUp.Counted ? this.served / warmCount : (this.loop.now - this.coldSince) / warmMs;
		const gradual = warmUp === WarmUp.Counted || warmUp === WarmUp.Timed;
		return gradual ? Math.min(1, share) : Number(share >= 1);
	}

	/** Orders that it can bear now. */
	get safeConcurrency(): number {
		return 1 + Math.floor((this.cfg.slots - 1) * this.warmUpProgress);
	}

	/** Whether it would say that it is cold. */
	get isCold(): boolean {
		return this.warmUpProgress < 1;
	}

	/** Runs an order. */
	start(id: string, done: (end: ModelOutcome) => void): void {
		const order = {done};
		this.orders.set(id, order);
		this.violations += Number(this.running > this.safeConcurrency);
		this.maxRunning = Math.max(this.maxRunning, this.running);
		this.loop.schedule(this.duration(), () => {
			if (this.orders.get(id) === order) {
				this.orders.delete(id);
				this.served += 1;
				done(ModelOutcome.Answered);
			}
		});
	}

	/** Aborts an order. */
	cancel(id: string): void {
		this.orders.delete(id);
	}

	/** Becomes cold without a restart. */
	turnCold(): void {
		this.coldSince = this.loop.now;
		this.served = 0;
	}

	/** Loses all orders and starts cold under a new incarnation. */
	restart(): void {
		const lost = [...this.orders.values()];
		this.orders.clear();
		this.incarnation += 1;
		this.turnCold();
		for (const order of lost) {
			order.done(ModelOutcome.Lost);
		}
	}

	private duration(): number {
		const crowd = Math.max(1, this.running / this.cfg.slots);
		const chill = this.cfg.warmUp === WarmUp.Hidden ? 1 : 1 + ((this.cfg.coldFactor - 1) * (1 - this.warmUpProgress));
		return this.random.lognormal(this.cfg.serviceMs, this.cfg.sigma) * this.slowdownFactor * crowd * chill;
	}
}
