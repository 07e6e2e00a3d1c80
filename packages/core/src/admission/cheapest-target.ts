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
	const typical = typicalSlowness(targets);
	const costs = targets.map(target => targetCost(target, typical, now));
	const highest = Math.min(...costs) * equalCostFactor;
	let [cheapest] = targets;
	let longestIdleMs = Number.NEGATIVE_INFINITY;
	for (const [i, target] of targets.entries()) {
		const idleMs = target.idleMs(now);
		if (costs[i] <= highest && idleMs > longestIdleMs) {
			cheapest = target;
			longestIdleMs = idleMs;
		}
	}

	return cheapest;
}

/** Returns the mean long-term slowness of the measured targets; 1 if there are none. */
function typicalSlowness(targets: readonly TargetLimiter[]): number {
	let sum = 0;
	let count = 0;
	for (const {slowness} of targets) {
		if (slowness.isMeasured) {
			sum += slowness.longTerm;
			count += 1;
		}
	}

	return count === 0 ? 1 : sum / count;
}

/** Returns the cost of sending one more request to a target. */
function targetCost(target: TargetLimiter, typical: number, now: number): number {
	const isAvoided = target.namedLimiter.isLimited && target.idleMs(now) < limitRefreshMs;
	return target.slowness.factorOr(typical) * (1 + (target.inFlight / Math.max(1, target.limit))) * (isAvoided ? limitedCostFactor : 1);
}
