import type {RetryBudgetCfg} from '@bluebellyard/core';
import type {GatewaySettings} from './settings.js';

/** Smallest number of instances among which the allowed retries are divided; an instance may not know all others yet. */
const minInstances = 8;

/** Fraction of the allowed retries that the instances use, so that uneven load does not exceed the limit. */
const retryShareUsed = 0.75;

/** Returns the retry budget of one of a number of instances. */
export function toRetryBudget({retries}: GatewaySettings, instances: number): RetryBudgetCfg {
	// Half of the additional retries may be used immediately, the other half accrues over the window.
	const extra = retries.extra * retryShareUsed / Math.max(minInstances, instances) / 2;
	return {share: retries.ratio * retryShareUsed, perSecond: extra / (retries.window / 1000), burst: Math.max(1, extra)};
}
