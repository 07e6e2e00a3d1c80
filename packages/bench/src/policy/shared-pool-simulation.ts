import {EventLoop} from './event-loop.js';
import {Random} from './random.js';
import {Statistics} from './statistics.js';
import {TargetModel, defaultTarget, type TargetModelCfg} from './target-model.js';

/** Size and load of a simulated shared pool. */
export type SharedPoolCfg = {
	readonly seed: number;
	readonly instances: number;
	readonly targets: number;
	/** Requests per second over all instances. */
	readonly rate: number;
	/** Timeout of a caller, in milliseconds. */
	readonly callerTimeoutMs: number;
	/** One-way network delay between two processes, in milliseconds. */
	readonly networkDelayMs: number;
	/** One-way network delay between a steward and its target, which share a failure domain, in milliseconds. */
	readonly intraDomainDelayMs: number;
	/** Simulated duration, in milliseconds. */
	readonly durationMs: number;
	/** Time at the start whose requests are not counted, in milliseconds. */
	readonly settleMs: number;
	readonly target: TargetModelCfg;
};

/** Size and load of the audit pool: 15 targets with 4 slots behind 12 instances, at 60% of its capacity. */
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

/** Simulated request of an open-loop caller. */
export type SimRequest = {
	readonly id: string;
	/** Index of the instance that received the request. */
	readonly instance: number;
	readonly arrivedAt: number;
	readonly deadline: number;
	ended: boolean;
};

/** Targets, callers and statistics of one simulated run. */
export class SharedPoolSimulation {
	readonly loop = new EventLoop();
	readonly statistics = new Statistics();
	readonly targets: TargetModel[];
	private readonly arrivals: Random;
	private requestCount = 0;

	constructor(readonly cfg: SharedPoolCfg) {
		this.arrivals = new Random(cfg.seed, 0);
		this.targets = Array.from({length: cfg.targets}, (_, i) =>
			new TargetModel(this.loop, new Random(cfg.seed, 100 + i), cfg.target));
	}

	/** Starts the callers; calls `send` with each request. */
	startCallers(send: (req: SimRequest) => void): void {
		const delayMs = this.arrivals.exponential(1000 / this.cfg.rate);
		this.loop.schedule(delayMs, () => {
			send(this.nextRequest());
			this.startCallers(send);
		});
	}

	/** Makes `count` other targets slow by `factor` every `intervalMs` milliseconds. */
	rotateSlowTargets(count: number, factor: number, intervalMs: number): void {
		const random = new Random(this.cfg.seed, 1);
		const rotate = () => {
			const slow = new Set(random.sample(this.cfg.targets, count));
			for (const [i, target] of this.targets.entries()) {
				target.slowdownFactor = slow.has(i) ? factor : 1;
			}
		};

		this.loop.schedule(this.cfg.settleMs, () => {
			rotate();
			this.loop.scheduleEvery(intervalMs, rotate);
		});
	}

	/** Records that the complete answer reached the caller; only the first end of a request counts. */
	recordAnswer(req: SimRequest): void {
		if (this.endRequest(req)) {
			this.statistics.recordAnswer(this.loop.now - req.arrivedAt, this.loop.now <= req.deadline);
		}
	}

	/** Records that a refusal reached the caller; only the first end of a request counts. */
	recordRefusal(req: SimRequest, reason: string): void {
		if (this.endRequest(req)) {
			this.statistics.recordRefusal(reason, this.loop.now - req.arrivedAt);
		}
	}

	/** Runs the simulation to its end. */
	run(): void {
		this.loop.runUntil(this.cfg.durationMs);
	}

	/** Returns the largest number of orders that any target ran concurrently. */
	maxRunning(): number {
		return Math.max(...this.targets.map(target => target.maxRunning));
	}

	private nextRequest(): SimRequest {
		this.requestCount += 1;
		const {now} = this.loop;
		this.statistics.offered += Number(now >= this.cfg.settleMs);
		return {
			id: String(this.requestCount),
			instance: this.arrivals.integer(this.cfg.instances),
			arrivedAt: now,
			deadline: now + this.cfg.callerTimeoutMs,
			ended: false,
		};
	}

	private endRequest(req: SimRequest): boolean {
		if (req.ended) {
			return false;
		}

		req.ended = true;
		return req.arrivedAt >= this.cfg.settleMs;
	}
}
