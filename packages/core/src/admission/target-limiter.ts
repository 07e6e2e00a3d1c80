import {ColdRateLimiter} from './cold-rate-limiter.js';
import {NamedRateLimiter} from './named-rate-limiter.js';
import {SlownessEstimate} from './work-estimator.js';

/** Pause after the second consecutive failure of a target, in milliseconds; doubles with each further failure. */
const firstPauseMs = 60;

/** Longest pause, in milliseconds; bounds the time until a recovered target is detected. */
const maxPauseMs = 1500;

/** Pause after a target reported that it is full while all its slots were in use, in milliseconds; a part of the time until a slot is free. */
const fullPauseMs = 20;

/** Longest pause that a target may ask for, in milliseconds; bounds the effect of a wrong value. */
const maxAskedPauseMs = 60_000;

/** Weight of one outcome in the moving average of failures. */
const failureWeight = 0.12;

/** Share of failures above which a target receives one request at a time. */
const degradedFailureShare = 0.35;

/** Outcome of an attempt, as far as it concerns the target. */
export enum AttemptOutcome {
	/** A complete answer with any status. */
	Answered = 'answered',
	/** The target reported that it is full and did not run the request. */
	Full = 'full',
	/** The target reported that it did not run the request for another reason. */
	NotRun = 'not-run',
	/** No connection could be opened. */
	Unreachable = 'unreachable',
	/** The connection broke or the answer was invalid. */
	Broken = 'broken',
	/** No answer arrived in time. */
	TimedOut = 'silent',
	/** The caller disconnected, or the request was cancelled for a reason that does not concern the target. */
	Cancelled = 'cancelled',
}

/** Settings of a target limiter. */
export type TargetLimiterCfg = {
	readonly id: string;
	/** Requests that the target runs concurrently. */
	readonly slots: number;
	/** Requests per second that the target can handle while it is cold. */
	readonly coldRate: number;
};

/** Decides when one target may receive a request, by its slots, its cold-start rate, the limit that it names and its failures. */
export class TargetLimiter {
	readonly slowness = new SlownessEstimate();
	readonly coldLimiter: ColdRateLimiter;
	readonly namedLimiter = new NamedRateLimiter();
	private lastStartAt = Number.NEGATIVE_INFINITY;
	private running = 0;
	private consecutiveFailures = 0;
	private failureShare = 0;
	private pausedUntil = Number.NEGATIVE_INFINITY;
	/** End of the pause that the target asked for. */
	private askedPauseEnd = Number.NEGATIVE_INFINITY;
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

	/** Requests that may be in flight at present. */
	get limit(): number {
		return this.isDegraded ? 1 : this.cfg.slots;
	}

	/** Whether so many requests fail that the target receives only one at a time. */
	get isDegraded(): boolean {
		return this.failureShare > degradedFailureShare;
	}

	/** Whether the last two or more requests failed. */
	get isFailing(): boolean {
		return this.consecutiveFailures >= 2;
	}

	/** Capacity of the target, in slots of normal speed. */
	get capacity(): number {
		return this.isClosed ? 0 : this.limit / this.slowness.longTerm;
	}

	/** Returns whether a limit on requests per second holds for all instances together, so that only the steward may send. */
	isRateLimited(now: number): boolean {
		return this.namedLimiter.isLimited || this.coldLimiter.isCold(now);
	}

	/** Returns the limit on requests per second that applies now; infinite without one. */
	rate(now: number): number {
		return Math.min(this.namedLimiter.rate(now), this.coldLimiter.rate(now));
	}

	/** Sets the share of the limits on requests per second that this instance uses, from 0 to 1. */
	setRateShare(share: number, now: number): void {
		this.namedLimiter.setShare(share, now);
		this.coldLimiter.setShare(share);
	}

	/** Returns the time since the last start of a request, in milliseconds. */
	idleMs(now: number): number {
		return now - this.lastStartAt;
	}

	/** Applies changed settings. */
	configure(cfg: TargetLimiterCfg): void {
		this.cfg = cfg;
		this.coldLimiter.setRate(cfg.coldRate);
	}

	/** Starts nothing for a time that the target asked for, in milliseconds. */
	pause(ms: number, now: number): void {
		this.askedPauseEnd = Math.max(this.askedPauseEnd, now + Math.min(ms, maxAskedPauseMs));
	}

	/** Returns whether the target asked for a pause that has not ended. */
	isPaused(now: number): boolean {
		return now < this.askedPauseEnd;
	}

	/** Stops all further starts. */
	close(): void {
		this.isClosed = true;
	}

	/** Returns whether a request may start now. */
	mayStart(now: number): boolean {
		return !this.isClosed && this.running < this.limit && now >= this.pausedUntil && !this.isPaused(now) && this.coldLimiter.mayStart(now) && this.namedLimiter.mayStart(now);
	}

	/** Returns the earliest monotonic time at which a request may start if none ends before; infinite when one has to end first. */
	nextStartAt(now: number): number {
		if (this.isClosed || this.running >= this.limit) {
			return Number.POSITIVE_INFINITY;
		}

		return Math.max(this.pausedUntil, this.askedPauseEnd, this.coldLimiter.nextStartAt(now), this.namedLimiter.nextStartAt(now));
	}

	/** Records the start of a request. */
	recordStart(now: number): void {
		this.running += 1;
		this.lastStartAt = now;
		this.coldLimiter.recordStart(now);
		this.namedLimiter.recordStart(now);
	}

	/** Records the end of a request. `ratio` is its duration divided by its expected work. */
	recordEnd(outcome: AttemptOutcome, ratio: number, now: number): void {
		this.running = Math.max(0, this.running - 1);
		switch (outcome) {
			case AttemptOutcome.Answered: {
				this.recordSuccess();
				this.slowness.record(ratio);
				break;
			}

			case AttemptOutcome.Full: {
				// Pauses only when the slots are in use; a target that refuses single requests at random can serve the next one at once.
				if (this.running >= this.limit - 1) {
					this.pausedUntil = Math.max(this.pausedUntil, now + fullPauseMs);
				}

				break;
			}

			case AttemptOutcome.Unreachable:
			case AttemptOutcome.Broken:
			case AttemptOutcome.TimedOut: {
				this.recordFailure(now);
				break;
			}

			case AttemptOutcome.NotRun:
			case AttemptOutcome.Cancelled: {
				break;
			}
		}
	}

	private recordSuccess(): void {
		this.consecutiveFailures = 0;
		this.failureShare -= this.failureShare * failureWeight;
	}

	private recordFailure(now: number): void {
		this.consecutiveFailures += 1;
		this.failureShare += (1 - this.failureShare) * failureWeight;
		if (this.consecutiveFailures >= 2) {
			const pause = Math.min(maxPauseMs, firstPauseMs * (2 ** (this.consecutiveFailures - 2)));
			this.pausedUntil = Math.max(this.pausedUntil, now + pause);
		}
	}
}
