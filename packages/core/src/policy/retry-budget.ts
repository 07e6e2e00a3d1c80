/** Settings of a retry budget. */
export type RetryBudgetCfg = {
	/** Repeats allowed per first request. */
	readonly share: number;
	/** Repeats allowed per second whatever the traffic. */
	readonly perSecond: number;
	/** Largest number of unused repeats that are kept. */
	readonly burst: number;
};

/** Budget of one pool unless settings say otherwise. */
export const defaultRetryBudget: RetryBudgetCfg = {share: 0.1, perSecond: 2, burst: 20};

const msPerSecond = 1000;

/**
 * Token bucket that pays for retries and hedges, so that they never amplify an outage.
 */
export class RetryBudget {
	private tokens: number;
	private refilledAt: number | undefined;

	constructor(private readonly cfg: RetryBudgetCfg = defaultRetryBudget) {
		this.tokens = cfg.burst;
	}

	/** Counts a first request, which earns a share of a repeat. */
	deposit(now: number): void {
		this.refill(now);
		this.tokens = Math.min(this.cfg.burst, this.tokens + this.cfg.share);
	}

	/** Takes one repeat out of the budget; false when it is used up. */
	tryWithdraw(now: number): boolean {
		this.refill(now);
		if (this.tokens < 1) {
			return false;
		}

		this.tokens -= 1;
		return true;
	}

	private refill(now: number): void {
		const elapsed = Math.max(0, now - (this.refilledAt ?? now));
		this.refilledAt = Math.max(now, this.refilledAt ?? now);
		this.tokens = Math.min(this.cfg.burst, this.tokens + (elapsed * this.cfg.perSecond / msPerSecond));
	}
}
