import {Repeat} from '../rules/index.js';
import {QuantileEstimate} from './quantile-estimate.js';
import type {RetryBudget} from './retry-budget.js';

/** Quantile of the pool's latencies above which a request counts as late. */
const lateQuantile = 0.95;

/** Ratio to the pool's median below which a request never counts as late. */
const lateRatio = 3;

/** A request that may be hedged. */
export type HedgeCandidate = {
	readonly repeat: Repeat;
	/** Monotonic time at which the first attempt was sent, in milliseconds. */
	readonly sentAt: number;
	/** Monotonic deadline of the caller, in milliseconds. */
	readonly deadline: number;
};

/**
 * Decides when a late idempotent request is hedged: sent to a second target, paid for by the retry budget.
 * The hedge must not wait at that target, so that it never delays first attempts.
 */
export class HedgePolicy {
	private readonly budget: RetryBudget;
	private readonly late = new QuantileEstimate(lateQuantile);
	private readonly typical = new QuantileEstimate(0.5);

	constructor(budget: RetryBudget) {
		this.budget = budget;
	}

	/** Records the latency of an answer from the pool, in milliseconds. */
	recordLatency(latency: number): void {
		this.late.add(latency);
		this.typical.add(latency);
	}

	/** Returns the monotonic time at which to call `allow`; undefined when the request must not or need not be hedged. */
	dueAt(req: HedgeCandidate): number | undefined {
		const delay = this.late.value;
		if (req.repeat !== Repeat.Idempotent || delay === undefined) {
			return undefined;
		}

		const due = req.sentAt + Math.max(delay, lateRatio * (this.typical.value ?? 0));
		return this.hasTimeLeft(due, req) ? due : undefined;
	}

	/** Returns whether to send the hedge now; if so, withdraws it from the budget. */
	allow(req: HedgeCandidate, now: number): boolean {
		return req.repeat === Repeat.Idempotent && this.hasTimeLeft(now, req) && this.budget.tryWithdraw(now);
	}

	private hasTimeLeft(at: number, req: HedgeCandidate): boolean {
		return at + (this.typical.value ?? 0) < req.deadline;
	}
}
