import {RequestAgeEstimator} from '../admission/index.js';
import {
	RetryBudget, RetryDecision, SelectiveRetryBudget, type RetryBudgetCfg,
} from '../policy/index.js';

/** Random rejections by targets with free capacity, and the instances that retry. */
export type PlayedRejections = {
	readonly fromMs: number;
	readonly toMs: number;
	/** Share of the requests that targets reject. */
	readonly share: number;
	readonly instances: number;
	/** Retry budget over all instances: `ratio` for each request and `extra` in any window of `windowMs`. */
	readonly ratio: number;
	readonly extra: number;
	readonly windowMs: number;
	/** Whether a scarce budget goes first to requests that would otherwise fail for good. */
	readonly isSelective: boolean;
};

/** One request of a caller at an instance. */
export type PlayedRequest = {
	readonly instance: number;
	readonly isRetry: boolean;
	/** Number of times that it was sent to a target. */
	sends: number;
};

/** A request whose target rejected it. Times are milliseconds. */
export type RejectedRequest = {
	readonly priority: number;
	readonly deadline: number;
	readonly expectedMs: number;
	/** Delay that the caller is told without a retry. */
	readonly retryAfterMs: number;
};

/** Callers, and how many of them were served, within their objective or at all. */
export type CallerCounts = {
	callers: number;
	inTime: number;
	served: number;
};

type PlayedInstance = {
	readonly ages: RequestAgeEstimator;
	readonly plain: RetryBudget;
	readonly selective: SelectiveRetryBudget;
};

/** Part of the budget that the instances use, and the least number among which it is divided, as in the gateway. */
const usedShare = 0.75;
const minInstances = 8;

/** Largest number of times that one request is sent. */
const maxSends = 5;

/** Plays what the instances of a deployment decide about rejected requests, and counts what the service receives. */
export class PlayedRetries {
	/** By priority, what callers got that arrived while targets rejected requests. */
	readonly results = new Map<number, CallerCounts>();
	private readonly instances: PlayedInstance[];
	private readonly requestTimes: number[] = [];
	private readonly retryTimes: number[] = [];

	constructor(private readonly cfg: PlayedRejections) {
		const extra = cfg.extra * usedShare / Math.max(minInstances, cfg.instances) / 2;
		const budget: RetryBudgetCfg = {share: cfg.ratio * usedShare, perSecond: extra / cfg.windowMs * 1000, burst: Math.max(1, extra)};
		this.instances = Array.from({length: cfg.instances}, () => ({
			ages: new RequestAgeEstimator(), plain: new RetryBudget(budget), selective: new SelectiveRetryBudget(budget),
		}));
	}

	/** Number of retries by the instances. */
	get retries(): number {
		return this.retryTimes.length;
	}

	/** Returns whether targets reject a request that is sent now. */
	rejects(random: () => number, now: number): boolean {
		return random() < this.cfg.share && this.isRejecting(now);
	}

	/** Records a caller that arrives. */
	recordCaller(priority: number, now: number): void {
		if (this.isRejecting(now)) {
			this.countsOf(priority).callers += 1;
		}
	}

	/** Records that a caller which arrived at `firstAt` is served. */
	recordAnswer(priority: number, firstAt: number, isInTime: boolean): void {
		if (this.isRejecting(firstAt)) {
			const counts = this.countsOf(priority);
			counts.served += 1;
			counts.inTime += isInTime ? 1 : 0;
		}
	}

	/** Receives a request at a random instance. */
	receive(route: string, leftMs: number, random: () => number, now: number): PlayedRequest {
		const instance = Math.floor(random() * this.instances.length);
		const {ages, plain, selective} = this.instances[instance];
		this.requestTimes.push(now);
		plain.deposit(now);
		selective.deposit(now);
		ages.estimate(route, leftMs);
		return {instance, isRetry: ages.isRetry(route, leftMs), sends: 0};
	}

	/** Returns whether a rejected request is retried. */
	mayRetry(request: PlayedRequest, {priority, deadline, expectedMs, retryAfterMs}: RejectedRequest, now: number): boolean {
		if (request.sends >= maxSends || deadline - now < expectedMs) {
			return false;
		}

		const {plain, selective} = this.instances[request.instance];
		const isLastChance = request.isRetry || deadline - now < retryAfterMs + expectedMs;
		const isGranted = this.cfg.isSelective ? selective.decide({isLastChance, priority}, now) === RetryDecision.Granted : plain.tryWithdraw(now);
		if (isGranted) {
			this.retryTimes.push(now);
		}

		return isGranted;
	}

	/** Returns the largest number of retries in a window as a share of the retries allowed in it. */
	largestUse(): number {
		const {ratio, extra, windowMs} = this.cfg;
		const countIn = (times: readonly number[], from: number) => times.filter(time => time >= from && time < from + windowMs).length;
		return Math.max(0, ...this.retryTimes.map(from => countIn(this.retryTimes, from) / (extra + (ratio * countIn(this.requestTimes, from)))));
	}

	private isRejecting(now: number): boolean {
		return now >= this.cfg.fromMs && now < this.cfg.toMs;
	}

	private countsOf(priority: number): CallerCounts {
		const counts = this.results.get(priority) ?? {callers: 0, inTime: 0, served: 0};
		this.results.set(priority, counts);
		return counts;
	}
}
