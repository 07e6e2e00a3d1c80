import type {Clock} from '../clock/index.js';

/** Time before the end of the grace period at which what is still open is answered, in milliseconds; enough to write these answers and to close. */
const closeReserveMs = 500;

/** Delay after its deadline at which a request is answered at the latest, also without a result, in milliseconds. */
export const answerSlackMs = 200;

/** Ratio of the longest work of a request to the mean of its route that a stop allows for. Users state tails of seven times the mean. */
const maxWorkRatio = 8;

/** A request that can be answered or not before the process ends. */
export type DueRequest = {
	readonly route: string;
	readonly objectiveMs: number;
	/** Monotonic milliseconds. */
	readonly deadline: number;
	/** Whether the request must run at most once. */
	readonly isOnce: boolean;
};

/** The time that is left to a process, once it was asked to stop. */
export class StopSchedule {
	private readonly clock: Clock;
	private readonly estimateWorkMs: (route: string, objectiveMs: number) => number;
	private endsAtMs = Number.POSITIVE_INFINITY;
	private halfAtMs = Number.POSITIVE_INFINITY;

	/** `estimateWorkMs` returns the expected run time of a request, in milliseconds. */
	constructor(clock: Clock, estimateWorkMs: (route: string, objectiveMs: number) => number) {
		this.clock = clock;
		this.estimateWorkMs = estimateWorkMs;
	}

	/** Time at which what is still open is answered, in monotonic milliseconds; infinity before a stop. */
	get endsAt(): number {
		return this.endsAtMs;
	}

	/** Starts the grace period. */
	begin(graceMs: number): void {
		const now = this.clock.now();
		this.endsAtMs = now + graceMs - closeReserveMs;
		this.halfAtMs = now + (graceMs / 2);
	}

	/**
	 * Returns whether a request that is passed on now is answered before the process ends. One that must run at most
	 * once needs all of its time, as its caller can't send it again if it is cut. For others the tail of their route is
	 * enough in the first half of the grace period, while callers still come; it is an estimate.
	 */
	canAnswer({route, objectiveMs, deadline, isOnce}: DueRequest): boolean {
		const answerBy = this.endsAtMs - answerSlackMs;
		// A deadline that `limitDeadline` has moved leaves no time beyond it.
		if (deadline < answerBy) {
			return true;
		}

		const now = this.clock.now();
		return !isOnce && now < this.halfAtMs && now + (maxWorkRatio * this.estimateWorkMs(route, objectiveMs)) <= answerBy;
	}

	/** Returns the time until which a request may run, given its deadline; both in monotonic milliseconds. */
	limitDeadline(deadline: number): number {
		return Math.min(deadline, this.endsAtMs - answerSlackMs);
	}
}
