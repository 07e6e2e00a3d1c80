/** Settings of a retry budget. */
export type RetryBudgetCfg = {
	/** Retries allowed per first attempt. */
	readonly share: number;
	/** Retries allowed per second regardless of the traffic. */
	readonly perSecond: number;
	/** Largest number of unused retries that accumulate. */
	readonly burst: number;
};

/** Default budget of one pool. */
export const defaultRetryBudget: RetryBudgetCfg = {share: 0.1, perSecond: 2, burst: 20};

const msPerSecond = 1000;

/**
 * Token bucket that limits retries and hedges, so that they do not amplify an outage.
 */
export class RetryBudget {
	private tokens: number;
	private refilledAt: number | undefined;

	constructor(private readonly cfg: RetryBudgetCfg = defaultRetryBudget) {
		this.tokens = cfg.burst;
	}

	/** Deposits the share of a retry that a first attempt earns. */
	deposit(now: number): void {
		this.refill(now);
		this.tokens = Math.min(this.cfg.burst, this.tokens + this.cfg.share);
	}

	/** Withdraws one retry; returns false when the budget is used up. */
	tryWithdraw(now: number): boolean {
		this.refill(now);
		if (this.tokens < 1) {
			return false;
		}

		this.tokens -= 1;
		return true;
	}

	/** Returns the number of retries that are left, with fractions. */
	available(now: number): number {
		this.refill(now);
		return this.tokens;
	}

	private refill(now: number): void {
		const elapsed = Math.max(0, now - (this.refilledAt ?? now));
		this.refilledAt = Math.max(now, this.refilledAt ?? now);
		this.tokens = Math.min(this.cfg.burst, this.tokens + (elapsed * this.cfg.perSecond / msPerSecond));
	}
}
