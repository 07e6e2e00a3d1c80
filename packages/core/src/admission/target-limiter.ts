import {ColdRateLimiter} from './cold-rate-limiter.js';
import {SlownessEstimate} from './work-estimator.js';

/** Pause after the first failure of a target, in milliseconds; doubles with each further one. */
const firstPauseMs = 60;

/** Longest pause, in milliseconds; a target that recovers is found within it. */
const maxPauseMs = 1500;

/** Pause after a target refused as full while more than one request ran there, in milliseconds: part of the time until a slot is free. */
const fullPauseMs = 20;

/** Weight of one result in the share of failures. */
const failureWeight = 0.12;

/** Share of failures above which a target gets one request at a time. */
const greyShare = 0.35;

/** How a request that was sent ended, from the target's point of view. */
export enum AttemptOutcome {
	/** A whole answer, whatever its status. */
	Answered = 'answered',
	/** The target said that it did not run the request since it is full. */
	Full = 'full',
	/** The target said that it did not run the request for another reason. */
	NotRun = 'not-run',
	/** No connection. */
	Unreachable = 'unreachable',
	/** The connection broke or the answer was no answer. */
	Broken = 'broken',
	/** No answer in time. */
	TimedOut = 'silent',
	/** The caller left, or the request was given up for reasons that are not the target's. */
	Cancelled = 'cancelled',
}

/** Settings of a lane. */
export type TargetLimiterCfg = {
	readonly id: string;
	/** Requests that the target runs at the same time. */
	readonly slots: number;
	/** Requests a second that it bears while cold. */
	readonly coldRate: number;
};

/** One target as its gate sees it: slots, cold limit, failures. */
export class TargetLimiter {
	readonly slowness = new SlownessEstimate();
	readonly coldLimiter: ColdRateLimiter;
	private running = 0;
	private failuresInRow = 0;
	private failureShare = 0;
	private pausedUntil = Number.NEGATIVE_INFINITY;
	private isClosed = false;

	constructor(private cfg: TargetLimiterCfg) {
		this.coldLimiter = new ColdRateLimiter(cfg.coldRate);
	}

	get id(): string {
		return this.cfg.id;
	}

	/** Requests in flight. */
	get inFlight(): number {
		return this.running;
	}

	/** Requests that it may run at the same time at the moment. */
	get limit(): number {
		return this.isDegraded ? 1 : this.cfg.slots;
	}

	/** Whether so many requests fail that only single ones are tried. */
	get isDegraded(): boolean {
		return this.failureShare > greyShare;
	}

	/** Whether the target fails one request after the other. */
	get isFailing(): boolean {
		return this.failuresInRow >= 2;
	}

	/** Work that it does, in slots of usual speed. */
	get capacity(): number {
		return this.isClosed ? 0 : this.limit / this.slowness.longTerm;
	}

	/** Takes changed settings. */
	configure(cfg: TargetLimiterCfg): void {
		this.cfg = cfg;
		this.coldLimiter.setRate(cfg.coldRate);
	}

	/** Starts nothing more. */
	close(): void {
		this.isClosed = true;
	}

	/** Whether a request may start now. */
	mayStart(now: number): boolean {
		return !this.isClosed && this.running < this.limit && now >= this.pausedUntil && this.coldLimiter.mayStart(now);
	}

	/** When a request may start if no request ends before, at the earliest; infinite when only an end helps. */
	nextStartAt(now: number): number {
		if (this.isClosed || this.running >= this.limit) {
			return Number.POSITIVE_INFINITY;
		}

		return Math.max(this.pausedUntil, this.coldLimiter.nextStartAt(now));
	}

	/** Counts a start. */
	recordStart(now: number): void {
		this.running += 1;
		this.coldLimiter.recordStart(now);
	}

	/** Counts an end. `ratio` is the time it took in relation to its expected work. */
	recordEnd(ending: AttemptOutcome, ratio: number, now: number): void {
		this.running = Math.max(0, this.running - 1);
		switch (ending) {
			case AttemptOutcome.Answered: {
				this.succeeded();
				this.slowness.record(ratio);
				break;
			}

			case AttemptOutcome.Full: {
				// A target that refuses single requests at random serves the next one as well as later ones.
				if (this.running >= this.limit - 1) {
					this.pausedUntil = Math.max(this.pausedUntil, now + fullPauseMs);
				}

				break;
			}

			case AttemptOutcome.Unreachable:
			case AttemptOutcome.Broken:
			case AttemptOutcome.TimedOut: {
				this.failed(now);
				break;
			}

			case AttemptOutcome.NotRun:
			case AttemptOutcome.Cancelled: {
				break;
			}
		}
	}

	private succeeded(): void {
		this.failuresInRow = 0;
		this.failureShare -= this.failureShare * failureWeight;
	}

	private failed(now: number): void {
		this.failuresInRow += 1;
		this.failureShare += (1 - this.failureShare) * failureWeight;
		if (this.failuresInRow >= 2) {
			const pause = Math.min(maxPauseMs, firstPauseMs * (2 ** (this.failuresInRow - 2)));
			this.pausedUntil = Math.max(this.pausedUntil, now + pause);
		}
	}
}
