import {Repeat} from '../rules/index.js';
import {QuantileEstimate} from './quantile-estimate.js';
import type {RetryBudget} from './retry-budget.js';

/** Quantile of the pool's latencies after which a request counts as late. */
const lateQuantile = 0.95;

/** Ratio to the pool's median below which a request never counts as late. */
const lateRatio = 3;

/** A request that may be sent a second time. */
export type HedgeCandidate = {
	readonly repeat: Repeat;
	/** Monotonic time of the first sending, in milliseconds. */
	readonly sentAt: number;
	/** Monotonic deadline of the caller, in milliseconds. */
	readonly deadline: number;
};

/**
 * Sends a late idempotent request once more, to another target, out of the retry budget.
 * The second sending must not wait at the other target, so that it never delays first sendings.
 */
export class HedgePolicy {
	private readonly budget: RetryBudget;
	private readonly late = new QuantileEstimate(lateQuantile);
	private readonly typical = new QuantileEstimate(0.5);

	constructor(budget: RetryBudget) {
		this.budget = budget;
	}

	/** Takes the latency of an answer of the pool, in milliseconds. */
	recordLatency(latency: number): void {
		this.late.add(latency);
		this.typical.add(latency);
	}

	/** Monotonic time at which to call `allow`; undefined when the request must not or need not be hedged. */
	dueAt(req: HedgeCandidate): number | undefined {
		const delay = this.late.value;
		if (req.repeat !== Repeat.Idempotent || delay === undefined) {
			return undefined;
		}

		const due = req.sentAt + Math.max(delay, lateRatio * (this.typical.value ?? 0));
		return this.worthwhile(due, req) ? due : undefined;
	}

	/** Whether to send the request again now; pays from the budget when true. */
	allow(req: HedgeCandidate, now: number): boolean {
		return req.repeat === Repeat.Idempotent && this.worthwhile(now, req) && this.budget.tryWithdraw(now);
	}

	private worthwhile(at: number, req: HedgeCandidate): boolean {
		return at + (this.typical.value ?? 0) < req.deadline;
	}
}
