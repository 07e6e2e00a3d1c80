/**
 * Bounds of the delay for the most and the least urgent priority, as shares of the time that the objective leaves beside the
 * work. The delay counts twice, for the request and its response, and a third time as a reserve, since it may grow while the
 * request is at its target: with a half instead of a third, most urgent requests were served late at twice the load.
 */
const mostUrgentShare = 1 / 3;
const leastUrgentShare = 1 / 6;

/** Smallest bound of the delay, in milliseconds; short delays also occur without overload. */
const minBoundMs = 50;

/** Time for which a priority is known after its last request, in milliseconds. */
const priorityMemoryMs = 10_000;

/** Share of the requests of each priority that is admitted while less urgent ones are. */
const minAdmittedShare = 0.25;

/** Time constant over which the admitted share of a priority is measured, in milliseconds. */
const shareTimeMs = 2000;

/** Time since the last admission of a less urgent request within which it counts as being admitted, in milliseconds. */
const recentMs = 1000;

/** Shortest time after which a rejected caller is told to come back, in milliseconds. */
const minRetryMs = 200;

/** Share of its remaining time after which a rejected caller comes back at the latest. */
const maxRetryShare = 1 / 3;

/** A request that an instance admits or rejects. */
export type LocalRequest = {
	/** 0 is the most urgent. */
	readonly priority: number;
	/** Time until its objective, in milliseconds; negative if that has passed. */
	readonly objectiveLeftMs: number;
	/** Time until its deadline, in milliseconds. */
	readonly timeLeftMs: number;
	/** Expected time at the target, in milliseconds. */
	readonly workMs: number;
};

/** Rejection of a request. */
export type LocalRejection = {
	/** Time after which the caller may come back, in milliseconds. */
	readonly retryAfterMs: number;
	/** Cause of the rejection, for the log. */
	readonly reason: string;
};

type PriorityState = {
	seenAt: number;
	admittedAt: number;
	/** Requests that could be answered before their deadline, and those of them that were admitted; both fade. */
	offered: number;
	admitted: number;
};

/**
 * Admission control of an instance that may be short of CPU time: decides by the priority and the objective of a request and
 * by the delay of this process, so that what is admitted is answered within its objective and urgent requests are admitted
 * longest. Rejections are worthwhile while one costs less than about a quarter of a served request.
 */
export class LocalAdmission {
	private readonly priorities = new Map<number, PriorityState>();

	/** Decides about a request while work in this process waits for `delayMs`. Returns undefined if it is admitted. */
	check(request: LocalRequest, delayMs: number, now: number): LocalRejection | undefined {
		const {priority, timeLeftMs, workMs} = request;
		this.forgetPriorities(now);
		const state = this.recordPriority(priority, now);
		const isTooLate = delayMs >= minBoundMs && (2 * delayMs) + workMs > timeLeftMs;
		if (!isTooLate) {
			state.offered += 1;
		}

		const boundMs = this.boundMs(request);
		if (isTooLate || (delayMs >= boundMs && !this.isStarved(priority, now))) {
			return {
				retryAfterMs: Math.min(Math.max(delayMs, minRetryMs), Math.max(0, timeLeftMs) * maxRetryShare),
				reason: `delay ${Math.round(delayMs)} ms, bound ${Math.round(boundMs)} ms, work ${Math.round(workMs)} ms`,
			};
		}

		state.admitted += 1;
		state.admittedAt = now;
		return undefined;
	}

	/** Returns the delay from which on a request is rejected, in milliseconds. */
	private boundMs({priority, objectiveLeftMs, workMs}: LocalRequest): number {
		const others = [...this.priorities.keys()].filter(other => other !== priority);
		const rank = others.length === 0 ? 0 : others.filter(other => other < priority).length / others.length;
		const share = mostUrgentShare + ((leastUrgentShare - mostUrgentShare) * rank);
		return Math.max(minBoundMs, share * (objectiveLeftMs - workMs));
	}

	/** Returns whether less urgent requests are admitted while too few of this priority are. */
	private isStarved(priority: number, now: number): boolean {
		const {offered, admitted} = this.priorities.get(priority)!;
		return admitted < offered * minAdmittedShare
			&& [...this.priorities].some(([other, {admittedAt}]) => other > priority && now - admittedAt < recentMs);
	}

	private recordPriority(priority: number, now: number): PriorityState {
		const state = this.priorities.get(priority) ?? {
			seenAt: now, admittedAt: Number.NEGATIVE_INFINITY, offered: 0, admitted: 0,
		};
		this.priorities.set(priority, state);
		const kept = Math.exp((state.seenAt - now) / shareTimeMs);
		state.offered *= kept;
		state.admitted *= kept;
		state.seenAt = now;
		return state;
	}

	private forgetPriorities(now: number): void {
		for (const [priority, {seenAt}] of this.priorities) {
			if (now - seenAt > priorityMemoryMs) {
				this.priorities.delete(priority);
			}
		}
	}
}
