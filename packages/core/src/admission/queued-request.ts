/**
 * Requests as the admission queue sees them: their order, and when a refused one may come back.
 */
import type {ErrorKind} from '../errors/index.js';

/** A request offered to the queue. All times are monotonic milliseconds. */
export type QueuedRequest = {
	/** Unique among the requests in the queue. */
	readonly id: string;
	/** 0 is the most urgent. */
	readonly priority: number;
	/** Time until which an answer meets the objective of the route. */
	readonly objectiveAt: number;
	/** Time after which an answer is useless to the caller. */
	readonly deadline: number;
	/** Expected duration on an idle target of normal speed, in milliseconds. */
	readonly workMs: number;
	/** Name of the caller's team; requests of teams are ordered fairly between the teams. */
	readonly team?: string;
	/** Ids of targets that must not receive it. */
	readonly excluded?: ReadonlySet<string>;
	/** Whether nothing else may run at its target meanwhile. */
	readonly isAlone?: boolean;
	/** Whether targets with a limit on requests per second, cold ones and those that name one, must not receive it, because another instance enforces the limit. */
	readonly skipsRateLimited?: boolean;
	/** Identifies the request when its caller sends it again; undefined if capacity must not be reserved for it. */
	readonly returnKey?: string;
	/** Whether its caller was probably rejected before, by any queue. */
	readonly hasReturned?: boolean;
	/** Whether its caller was rejected before and capacity was reserved for it; set by the queue. */
	readonly isReserved?: boolean;
};

/** A request that will not be sent. */
export type RequestRefusal = {
	readonly request: QueuedRequest;
	readonly error: ErrorKind;
	/** Expected time until there is capacity, in milliseconds. */
	readonly retryAfterMs: number;
	/** Whether capacity is reserved for the request at that time; undefined if the queue makes no reservations. */
	readonly isReserved?: boolean;
};

/** Factor by which a request may take longer than expected and still meet its objective. */
const workMargin = 1.25;

/** Multiple of the expected work before the deadline from which on a reserved request is no longer overtaken. With 3, over 0.01 fewer callers are served in time. */
const reservedTimeFactor = 1.5;

/** Bounds of the retry delay that callers are given, in milliseconds. */
export const minRetryAfterMs = 50;
const maxRetryAfterMs = 30_000;

/** Returns whether a request that starts now is expected to miss its objective. */
export function isLate(request: QueuedRequest, now: number): boolean {
	return now + (request.workMs * workMargin) > request.objectiveAt;
}

/** Returns whether requests that can still meet their objective start before this one. */
export function isRankedLate(request: QueuedRequest, now: number): boolean {
	const isDue = request.isReserved === true && now + (request.workMs * reservedTimeFactor) > request.deadline;
	return !isDue && isLate(request, now);
}

/** Rank of a request in a queue that teams share. */
export type TeamRank = {
	/** Requests with a lower tag start first. */
	readonly tag: number;
	/** Whether it is expected to miss its objective, also because of what its team has sent before. */
	readonly isLate: boolean;
};

/** Returns whether request `a` starts before `b`: requests in time before late ones, then by priority, then by tags if there are any, then by objective, or by deadline when late. */
export function precedes(a: QueuedRequest, b: QueuedRequest, now: number, ranks?: ReadonlyMap<string, TeamRank>): boolean {
	const rankA = ranks?.get(a.id);
	const rankB = ranks?.get(b.id);
	const lateA = rankA?.isLate ?? isRankedLate(a, now);
	if (lateA !== (rankB?.isLate ?? isRankedLate(b, now))) {
		return !lateA;
	}

	if (a.priority !== b.priority) {
		return a.priority < b.priority;
	}

	if (rankA !== undefined && rankB !== undefined && rankA.tag !== rankB.tag) {
		return rankA.tag < rankB.tag;
	}

	return lateA ? a.deadline < b.deadline : a.objectiveAt < b.objectiveAt;
}

/** Returns the time after which a refused request could be answered if it came back, in milliseconds: after its deadline if that is not possible before. */
export function timeToRoom(request: QueuedRequest, neededMs: number, now: number): number {
	const leftMs = request.deadline - now;
	return neededMs <= leftMs ? neededMs - request.workMs : Math.max(neededMs, leftMs);
}

export function createRefusal(request: QueuedRequest, error: ErrorKind, waitMs: number): RequestRefusal {
	const retryAfterMs = Math.min(maxRetryAfterMs, Math.max(minRetryAfterMs, waitMs));
	return {request, error, retryAfterMs};
}
