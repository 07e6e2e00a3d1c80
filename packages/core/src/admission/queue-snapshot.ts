/**
 * What decisions about several requests at one time have in common; computed once, as queues have up to a hundred targets.
 */
import {isLate, type QueuedRequest} from './queued-request.js';
import {assumedWorkMs} from './recent-work.js';
import type {TargetLimiter} from './target-limiter.js';

/** Targets of a queue at one time. */
export type QueueSnapshot = {
	/** Targets that this instance may send to. */
	readonly permitted: readonly TargetLimiter[];
	/** Work that they do per millisecond, in milliseconds of normal speed. */
	readonly capacity: number;
	/** Monotonic milliseconds. */
	readonly now: number;
};

const msPerSecond = 1000;

/** Covers rounding errors of sums in another order. */
const waitTolerance = 1 + 1e-9;

/** Returns whether a target may receive a request. */
export function isEligible(limiter: TargetLimiter, {excluded, skipsRateLimited}: QueuedRequest, now: number): boolean {
	return excluded?.has(limiter.id) !== true && !(skipsRateLimited === true && limiter.isRateLimited(now));
}

/** Returns the targets that may receive a request. */
export function findEligible(targets: readonly TargetLimiter[], request: QueuedRequest, now: number): readonly TargetLimiter[] {
	const isAny = (request.excluded?.size ?? 0) === 0 && request.skipsRateLimited !== true;
	return isAny ? targets : targets.filter(limiter => isEligible(limiter, request, now));
}

/** Returns the work that targets together do per millisecond, in milliseconds of normal speed. `meanWorkMs` is the mean work of a request. */
export function sumCapacity(targets: readonly TargetLimiter[], meanWorkMs: number, now: number): number {
	// If all targets pause, work goes on with all of them after the pause.
	const isPaused = targets.every(limiter => limiter.isPaused(now));
	let capacity = 0;
	for (const limiter of targets) {
		if (isPaused || !limiter.isPaused(now)) {
			const workPerSecond = limiter.rate(now) * meanWorkMs;
			capacity += Math.min(limiter.limit / limiter.slowness.factor, workPerSecond / msPerSecond);
		}
	}

	return capacity;
}

/** Returns false if each waiting request could be answered in time even behind all others, so that their order need not be known. `capacity` is what is left for late requests. */
export function mayRefuse(waiting: Iterable<QueuedRequest>, {permitted, capacity, now}: QueueSnapshot): boolean {
	const requests = [...waiting];
	let ahead = 0;
	for (const {workMs} of requests) {
		ahead += workMs;
	}

	const longestWait = ahead / capacity * waitTolerance;
	return requests.some(request => now + (request.workMs / 2) > request.deadline
		|| (isLate(request, now) && now + longestWait + request.workMs > request.deadline)
		|| !permitted.some(limiter => isEligible(limiter, request, now)));
}

/** Returns the expected wait of a request, in milliseconds. `isAhead` tells which of the waiting requests start before it. */
export function estimateWait(waiting: Iterable<QueuedRequest>, isAhead: (request: QueuedRequest) => boolean, {permitted, capacity, now}: QueueSnapshot): number {
	if (capacity === 0) {
		return Number.POSITIVE_INFINITY;
	}

	let running = 0;
	let slots = 0;
	let nextStartAt = Number.POSITIVE_INFINITY;
	for (const limiter of permitted) {
		running += limiter.inFlight;
		slots += limiter.limit;
		nextStartAt = Math.min(nextStartAt, limiter.nextStartAt(now));
	}

	let ahead = 0;
	let total = 0;
	let count = 0;
	for (const request of waiting) {
		total += request.workMs;
		count += 1;
		ahead += isAhead(request) ? request.workMs : 0;
	}

	// On average, half of the work of a request in flight is done.
	const meanMs = total === 0 ? assumedWorkMs : total / count;
	const inService = running >= slots ? meanMs / 2 / Math.max(1, slots) : 0;
	const delay = Number.isFinite(nextStartAt) ? Math.max(0, nextStartAt - now) : 0;
	return delay + (ahead / capacity) + inService;
}
