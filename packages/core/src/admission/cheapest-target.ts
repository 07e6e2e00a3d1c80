import type {TargetLimiter} from './target-limiter.js';

/** Factor on the cost of a target that names a limit, so that targets with room receive requests first. */
const limitedCostFactor = 2;

/** Time without a request after which a target that names a limit is treated like others, in milliseconds, so that the end of its limit is noticed. */
const limitRefreshMs = 1000;

/** Difference of the costs up to which targets count as equal, as a factor; measured speeds vary as much from one request to the next. */
const equalCostFactor = 1.25;

/**
 * Returns the target that should receive the next request: one that is fast and has few requests. Of equal ones it is
 * the one that has waited longest for a request, so that no target gets all of a light load. A target that was never
 * measured counts as fast as the others on average.
 */
export function findCheapestTarget(targets: readonly TargetLimiter[], now: number): TargetLimiter {
	const measured = targets.filter(({slowness}) => slowness.isMeasured);
	const typical = measured.length === 0 ? 1 : measured.reduce((sum, {slowness}) => sum + slowness.longTerm, 0) / measured.length;
	const costs = targets.map(target => ({target, cost: targetCost(target, typical, now)}));
	const lowest = Math.min(...costs.map(({cost}) => cost));
	const equal = costs.filter(({cost}) => cost <= lowest * equalCostFactor);
	return equal.toSorted((a, b) => b.target.idleMs(now) - a.target.idleMs(now))[0].target;
}

/** Returns the cost of sending one more request to a target. */
function targetCost(target: TargetLimiter, typical: number, now: number): number {
	const isAvoided = target.namedLimiter.isLimited && target.idleMs(now) < limitRefreshMs;
	return target.slowness.factorOr(typical) * (1 + (target.inFlight / Math.max(1, target.limit))) * (isAvoided ? limitedCostFactor : 1);
}
