/**
 * Decides which failed requests are retried while the retry budget is too small for all of them.
 *
 * The load that it responds to: targets reject a large part of the requests at random, so that a retry is likely to
 * succeed, and callers retry on their own. A retry for a caller that can retry itself gains little; one for a caller
 * that cannot is the difference between an answer and none.
 */
import {EventRate} from './event-rate.js';
import {RetryBudget, type RetryBudgetCfg} from './retry-budget.js';

/** Half-life of the measured rates, in milliseconds; short against a load of some seconds, long enough for the few requests a second that one of many instances receives. */
const rateHalfLifeMs = 1000;

/** Value of a retry relative to one for the next more urgent priority. With 0.8, the less urgent of two priorities served 0.020 fewer of its callers where 0.8 of the requests are rejected. */
const lessUrgentValue = 0.9;

/** A failed request that may be retried. */
export type RetryCandidate = {
	/** Whether the caller cannot retry on its own any more, so that the request fails for good without a retry. */
	readonly isLastChance: boolean;
	/** Priority; lower values are more urgent. */
	readonly priority: number;
};

/** Decision about a retry. */
export enum RetryDecision {
	Granted = 'granted',
	/** The budget has no retry left. */
	Exhausted = 'budget-exhausted',
	/** The budget is scarce, and the caller can retry on its own. */
	LeftToCaller = 'left-to-caller',
	/** The budget is scarce and kept for requests of more urgent priorities. */
	LessUrgent = 'less-urgent',
}

/** State of a budget, for the log. Rates are per second. */
export type RetryBudgetState = {
	readonly tokens: number;
	readonly incomePerSecond: number;
	readonly candidatesPerSecond: number;
};

/** Requests of the same priority and the same need of a retry. */
type Rank = RetryCandidate & {
	/** Rate of requests that may be retried, and of those that are. */
	readonly asked: EventRate;
	readonly granted: EventRate;
};

/**
 * Retry budget that prefers requests which would otherwise fail for good, and among these the more urgent priorities.
 * Its bound is that of `RetryBudget`. While the budget is scarce, a request gets a retry if that is worth more than what
 * requests of higher ranks are expected to lose by it; with a large reserve or few such requests they lose nothing.
 *
 * The budget becomes scarce when a retry is denied for lack of a token, and no earlier: under a load that a plain
 * `RetryBudget` satisfies, every retry is granted. It stops being scarce once it is full again and earns as many
 * retries as are asked for.
 */
export class SelectiveRetryBudget {
	private readonly budget: RetryBudget;
	private readonly requests = new EventRate(rateHalfLifeMs);
	private readonly ranks = new Map<string, Rank>();
	private isShort = false;

	constructor(private readonly cfg: RetryBudgetCfg) {
		this.budget = new RetryBudget(cfg);
	}

	/** Whether retries go to selected requests. */
	get isScarce(): boolean {
		return this.isShort;
	}

	/** Deposits the share of a retry that a first attempt earns. */
	deposit(now: number): void {
		this.requests.record(now);
		this.budget.deposit(now);
		this.updateScarcity(now);
	}

	/** Decides whether a request is retried and, if so, withdraws the retry. */
	decide(candidate: RetryCandidate, now: number): RetryDecision {
		const rank = this.rankOf(candidate);
		rank.asked.record(now);
		if (this.budget.available(now) < 1) {
			this.isShort = true;
			return RetryDecision.Exhausted;
		}

		this.updateScarcity(now);
		if (this.isShort && !this.isWorthwhile(rank, now)) {
			return candidate.isLastChance ? RetryDecision.LessUrgent : RetryDecision.LeftToCaller;
		}

		this.budget.tryWithdraw(now);
		rank.granted.record(now);
		return RetryDecision.Granted;
	}

	/** Returns the state of the budget. */
	state(now: number): RetryBudgetState {
		return {tokens: this.budget.available(now), incomePerSecond: this.incomePerSecond(now), candidatesPerSecond: this.candidatesPerSecond(now)};
	}

	private updateScarcity(now: number): void {
		if (this.isShort && this.budget.available(now) >= this.cfg.burst && this.candidatesPerSecond(now) <= this.incomePerSecond(now)) {
			this.isShort = false;
		}
	}

	/** Returns whether a retry is worth more to a request than the budget loses for requests of higher ranks. */
	private isWorthwhile(rank: Rank, now: number): boolean {
		let higherPerSecond = 0;
		let higherValue = 0;
		for (const other of this.ranks.values()) {
			if (precedes(other, rank)) {
				const perSecond = other.asked.perSecond(now);
				higherPerSecond += perSecond;
				higherValue += perSecond * this.valueOf(other, now);
			}
		}

		if (higherPerSecond === 0) {
			return true;
		}

		const risk = missRisk(this.budget.available(now), this.cfg.burst, higherPerSecond / this.incomePerSecond(now));
		return this.valueOf(rank, now) >= risk * higherValue / higherPerSecond;
	}

	/** Returns the value of a retry: the probability that the caller fails for good without it; of those that certainly do, weighted by the priority. */
	private valueOf({isLastChance, priority}: Rank, now: number): number {
		if (!isLastChance) {
			return this.ownRetryFailureShare(now);
		}

		const moreUrgent = new Set([...this.ranks.values()].filter(other => other.priority < priority).map(other => other.priority)).size;
		return lessUrgentValue ** moreUrgent;
	}

	/** Returns the probability that the retry of a caller fails, and so does the last chance that it then may get from the budget, by the recent shares. */
	private ownRetryFailureShare(now: number): number {
		const lastChances = [...this.ranks.values()].filter(({isLastChance}) => isLastChance);
		const attempts = this.requests.perSecond(now) + sumRates(this.ranks.values(), 'granted', now);
		const failureShare = toShare(this.candidatesPerSecond(now), attempts);
		const grantedShare = toShare(sumRates(lastChances, 'granted', now), sumRates(lastChances, 'asked', now));
		return failureShare * (1 - (grantedShare * (1 - failureShare)));
	}

	private incomePerSecond(now: number): number {
		return this.cfg.perSecond + (this.cfg.share * this.requests.perSecond(now));
	}

	private candidatesPerSecond(now: number): number {
		return sumRates(this.ranks.values(), 'asked', now);
	}

	private rankOf({isLastChance, priority}: RetryCandidate): Rank {
		const key = `${isLastChance ? 'last' : 'first'} ${priority}`;
		const rank = this.ranks.get(key) ?? {
			isLastChance, priority, asked: new EventRate(rateHalfLifeMs), granted: new EventRate(rateHalfLifeMs),
		};
		this.ranks.set(key, rank);
		return rank;
	}
}

function sumRates(ranks: Iterable<Rank>, kind: 'asked' | 'granted', now: number): number {
	let sum = 0;
	for (const rank of ranks) {
		sum += rank[kind].perSecond(now);
	}

	return sum;
}

/** Returns a quotient of rates, at most 1. */
function toShare(part: number, whole: number): number {
	return Math.min(1, part / Math.max(Number.MIN_VALUE, whole));
}

/** Returns whether a candidate gets a retry before another. Those whose callers can retry are equal, so that without any other the budget is spent as they come. */
function precedes(a: RetryCandidate, b: RetryCandidate): boolean {
	return a.isLastChance && (!b.isLastChance || a.priority < b.priority);
}

/**
 * Returns the probability that a token which is spent now is missed later: that the bucket is empty at a request before it
 * is full. `load` is the rate of such requests divided by that of tokens; both arrive at random (gambler's ruin).
 */
function missRisk(tokens: number, burst: number, load: number): number {
	const states = burst + 1;
	if (Math.abs(load - 1) < 0.001) {
		return 1 - (tokens / states);
	}

	// The inverse is used for high loads, as their powers overflow.
	return load < 1
		? ((load ** tokens) - (load ** states)) / (1 - (load ** states))
		: (1 - ((1 / load) ** (states - tokens))) / (1 - ((1 / load) ** states));
}
