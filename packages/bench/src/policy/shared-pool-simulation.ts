import {EventLoop} from './event-loop.js';
import {Random} from './random.js';
import {Statistics} from './statistics.js';
import {TargetModel, defaultTarget, type TargetModelCfg} from './target-model.js';

/** Sizes and load of a shared pool under test. */
export type SharedPoolCfg = {
	readonly seed: number;
	readonly instances: number;
	readonly targets: number;
	/** Requests per second over all instances. */
	readonly rate: number;
	/** Time that a caller waits, in milliseconds. */
	readonly callerTimeoutMs: number;
	/** One-way time between two processes, in milliseconds. */
	readonly networkDelayMs: number;
	/** One-way time between a steward and its target, which share a failure domain, in milliseconds. */
	readonly intraDomainDelayMs: number;
	/** Simulated time, in milliseconds. */
	readonly durationMs: number;
	/** Time at the start whose requests are not counted, in milliseconds. */
	readonly settleMs: number;
	readonly target: TargetModelCfg;
};

/** The audit pool: 15 targets with 4 slots behind 12 instances, at 60% of its capacity. */
export const auditPoolCfg: Omit<SharedPoolCfg, 'seed'> = {
	instances: 12,
	targets: 15,
	rate: 3500,
	callerTimeoutMs: 1000,
	networkDelayMs: 0.5,
	intraDomainDelayMs: 0.1,
	durationMs: 30_000,
	settleMs: 2000,
	target: defaultTarget,
};

/** One request of an open-loop caller. */
export type SimRequest = {
	readonly id: string;
	/** Instance that received it. */
	readonly instance: number;
	readonly arrivedAt: number;
	readonly deadline: number;
	ended: boolean;
};

/** Targets, callers and results of one run. */
export class SharedPoolSimulation {
	readonly loop = new EventLoop();
	readonly statistics = new Statistics();
	readonly targets: TargetModel[];
	private readonly arrivals: Random;
	private count = 0;

	constructor(readonly cfg: SharedPoolCfg) {
		this.arrivals = new Random(cfg.seed, 0);
		this.targets = Array.from({length: cfg.targets}, (_, i) =>
			new TargetModel(this.loop, new Random(cfg.seed, 100 + i), cfg.target));
	}

	/** Starts the callers; `send` receives each request. */
	startCallers(send: (req: SimRequest) => void): void {
		const gap = this.arrivals.exponential(1000 / this.cfg.rate);
		this.loop.schedule(gap, () => {
			send(this.next());
			this.startCallers(send);
		});
	}

	/** Makes other targets slow every `everyMs` milliseconds. */
	rotateSlowTargets(count: number, factor: number, everyMs: number): void {
		const random = new Random(this.cfg.seed, 1);
		const move = () => {
			const slow = new Set(random.sample(this.cfg.targets, count));
			for (const [i, target] of this.targets.entries()) {
				target.slowdownFactor = slow.has(i) ? factor : 1;
			}
		};

		this.loop.schedule(this.cfg.settleMs, () => {
			move();
			this.loop.scheduleEvery(everyMs, move);
		});
	}

	/** The whole answer reached the caller; the first end of a request counts. */
	recordAnswer(req: SimRequest): void {
		if (this.end(req)) {
			this.statistics.recordAnswer(this.loop.now - req.arrivedAt, this.loop.now <= req.deadline);
		}
	}

	/** A refusal reached the caller. */
	recordRefusal(req: SimRequest, reason: string): void {
		if (this.end(req)) {
			this.statistics.recordRefusal(reason, this.loop.now - req.arrivedAt);
		}
	}

	/** Runs to the end. */
	run(): void {
		this.loop.runUntil(this.cfg.durationMs);
	}

	/** Largest number of orders that any target ran together. */
	maxRunning(): number {
		return Math.max(...this.targets.map(target => target.maxRunning));
	}

	private next(): SimRequest {
		this.count += 1;
		const {now} = this.loop;
		this.statistics.offered += Number(now >= this.cfg.settleMs);
		return {
			id: String(this.count),
			instance: this.arrivals.integer(this.cfg.instances),
			arrivedAt: now,
			deadline: now + this.cfg.callerTimeoutMs,
			ended: false,
		};
	}

	private end(req: SimRequest): boolean {
		if (req.ended) {
			return false;
		}

		req.ended = true;
		return req.arrivedAt >= this.cfg.settleMs;
	}
}
