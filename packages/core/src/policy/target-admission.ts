import {ErrorKind} from '../errors/index.js';
import {
	AdmissionKind, CancelResult, OrderOutcome, type Admission, type QueueEntry, type Refusal, type OrderCompletion, type AdmissionDecision,
} from './queue-entry.js';
import type {LoadReport} from './load-table.js';
import {SlowStartLimiter, type GrantReport} from './slow-start-limiter.js';
import {ServiceTimeMeter, adjustForAges} from './service-time-meter.js';
import {WaitQueue} from './wait-queue.js';

/** Share of the queue length by which entries that were already admitted once may exceed it. */
const reserveShare = 0.25;

/**
 * Time for which a cancelled, timed-out or lost request keeps its slot, in milliseconds:
 * the target runs the request until it detects that it was abandoned.
 */
const abortDelayMs = 50;

/** Ratio to the mean service time above which a timeout is attributed to the target and not to a close deadline. */
const stuckRatio = 8;

/** Bounds of the pause after the target refused a request, in milliseconds; the pause doubles with each consecutive refusal. */
const minBackOffMs = 10;
const maxBackOffMs = 160;

/** Settings of the admission of a target. */
export type TargetAdmissionCfg = {
	/** Requests that a warm target runs concurrently. */
	readonly slots: number;
	/** Largest number of waiting requests. */
	readonly queue: number;
	/** Largest share of the queue for one caller, 0 to 1. */
	readonly callerShare: number;
};

/** Default share of the queue for one caller. */
export const defaultCallerShare = 0.5;

/** Outcomes after which the target may still run the request for a short time. */
const abandonedOutcomes = new Set([OrderOutcome.Cancelled, OrderOutcome.TimedOut, OrderOutcome.Lost]);

type Running = {
	readonly startedAt: number;
	readonly atLimit: boolean;
};

/**
 * Admission control for one target, run by its steward: limits the requests in flight, queues requests fairly up to
 * a bound, refuses those that can't be answered in time, and drains for a handover.
 */
export class TargetAdmission<E extends QueueEntry = QueueEntry> {
	/** Limit of requests in flight while the target may be cold. */
	readonly slowStart: SlowStartLimiter;
	private readonly waitQueue = new WaitQueue<E>();
	private readonly running = new Map<string, Running>();
	private readonly serviceTimes = new ServiceTimeMeter();
	/** Times at which the slots of abandoned requests become free, ascending. */
	private readonly aborting: number[] = [];
	private backOffMs = 0;
	private backOffUntil = Number.NEGATIVE_INFINITY;
	private isPaused = false;

	/** `slowStart` replaces the default slow-start limiter. */
	constructor(private readonly cfg: TargetAdmissionCfg, slowStart?: SlowStartLimiter) {
		this.slowStart = slowStart ?? new SlowStartLimiter(cfg.slots);
	}

	/** Number of requests in flight. */
	get inFlight(): number {
		return this.running.size;
	}

	/** Number of waiting requests. */
	get queued(): number {
		return this.waitQueue.size;
	}

	/** Returns whether admission is paused and no request runs at the target any more. */
	isDrained(now: number): boolean {
		return this.isPaused && this.slotsInUse(now) === 0;
	}

	/** Returns the load report for the answers to other instances. */
	load(now: number): LoadReport {
		return {
			inFlight: this.inFlight,
			queued: this.queued,
			limit: this.slowStart.limit,
			serviceMs: this.recentServiceMs(now) ?? 0,
		};
	}

	/** Offers a request: starts, queues or refuses it. */
	offer(entry: E, now: number): Admission {
		const error = this.findRefusal(entry, now);
		if (error !== undefined) {
			return {kind: AdmissionKind.Refused, error};
		}

		if (this.queued === 0 && this.hasSlot(now)) {
			this.begin(entry, now);
			return {kind: AdmissionKind.Start};
		}

		this.waitQueue.push(entry);
		return {kind: AdmissionKind.Queued};
	}

	/** Handles the end of a started request; starts those that may follow. */
	finish(id: string, result: OrderCompletion, now: number): AdmissionDecision<E> {
		const run = this.running.get(id);
		if (run !== undefined) {
			this.running.delete(id);
			this.recordEnd(run, result, now);
		}

		return this.tick(now);
	}

	/** Refuses requests that can no longer be answered in time and starts those that may start. */
	tick(now: number): AdmissionDecision<E> {
		const refuse = this.refuseExpired(now);
		return {start: this.startWaiting(now), refuse};
	}

	/** Returns the monotonic time by which `tick` must be called; undefined when no request waits. */
	nextTick(now: number): number | undefined {
		const deadline = this.waitQueue.earliestDeadline;
		if (deadline === undefined) {
			return undefined;
		}

		const expiry = deadline - this.serviceTimes.quickestMs;
		const backOff = this.backOffUntil > now ? this.backOffUntil : expiry;
		return Math.min(expiry, backOff, this.aborting[0] ?? expiry);
	}

	/** Cancels a request. One in flight keeps its slot until `finish`. */
	cancel(id: string): CancelResult {
		if (this.running.has(id)) {
			return CancelResult.InFlight;
		}

		return this.waitQueue.remove(id) === undefined ? CancelResult.Unknown : CancelResult.Dequeued;
	}

	/** Stops admission and empties the queue. Returns the refusals of the queued entries, which the next steward can admit. */
	pause(): Array<Refusal<E>> {
		this.isPaused = true;
		return this.waitQueue.clear().map(entry => ({entry, error: ErrorKind.NotSteward}));
	}

	/** Resumes admission after a pause. */
	resume(): void {
		this.isPaused = false;
	}

	/** Handles the target's answer to a grant; may start entries. */
	handleGrant(answer: GrantReport, now: number): AdmissionDecision<E> {
		this.slowStart.handleGrant(answer, now);
		return this.tick(now);
	}

	/** Resets the slow-start limit after the target was lost or came back. */
	handleTargetLost(now: number): void {
		this.slowStart.reset(now);
	}

	/** Returns the mean service time in milliseconds, by the answers and by the ages of the requests in flight. */
	serviceMs(now: number): number | undefined {
		return adjustForAges(this.serviceTimes.mean, this.ages(now));
	}

	/** Returns the recent median adjusted for the ages of requests in flight, so that a target with old requests in flight still counts as slow. */
	private recentServiceMs(now: number): number | undefined {
		const isBusy = this.inFlight > 0 && this.serviceTimes.isKnown;
		return adjustForAges(this.serviceTimes.recentMedian(now) ?? (isBusy ? this.serviceTimes.mean : undefined), this.ages(now));
	}

	private ages(now: number): number[] {
		return [...this.running.values()].map(run => now - run.startedAt);
	}

	private findRefusal(entry: E, now: number): ErrorKind | undefined {
		if (this.isPaused) {
			return ErrorKind.NotSteward;
		}

		if (entry.deadline <= now) {
			return ErrorKind.DeadlinePassed;
		}

		// Only a new answer can correct an estimate that is too high, so an idle target always receives a request.
		if (this.queued === 0 && this.hasSlot(now) && this.inFlight === 0) {
			return undefined;
		}

		if (now + this.serviceTimes.quickestMs > entry.deadline) {
			return ErrorKind.DeadlineTooClose;
		}

		if (this.queued === 0 && this.hasSlot(now)) {
			return undefined;
		}

		return this.checkQueue(entry) ?? this.checkDeadline(entry, now);
	}

	private checkQueue(entry: E): ErrorKind | undefined {
		if (entry.mayWait === false) {
			return ErrorKind.QueueFull;
		}

		const reserve = entry.admitted ? Math.ceil(this.cfg.queue * reserveShare) : 0;
		if (this.queued >= this.cfg.queue + reserve) {
			return ErrorKind.QueueFull;
		}

		const share = Math.max(1, Math.floor(this.cfg.queue * this.cfg.callerShare));
		return !entry.admitted && this.waitQueue.countByCaller(entry.caller) >= share ? ErrorKind.CallerShare : undefined;
	}

	private checkDeadline(entry: E, now: number): ErrorKind | undefined {
		const service = this.serviceMs(now);
		if (service === undefined) {
			return undefined;
		}

		const rounds = (this.waitQueue.countAhead(entry) + this.inFlight) / this.slowStart.limit;
		const backOff = Math.max(0, this.backOffUntil - now);
		return now + backOff + ((rounds + 1) * service) > entry.deadline ? ErrorKind.DeadlineTooClose : undefined;
	}

	private recordEnd(run: Running, result: OrderCompletion, now: number): void {
		const latency = now - run.startedAt;
		if (abandonedOutcomes.has(result.outcome)) {
			this.aborting.push(now + abortDelayMs);
		}

		switch (result.outcome) {
			case OrderOutcome.Answered: {
				this.serviceTimes.recordAnswer(latency, now);
				this.backOffMs = 0;
				this.slowStart.handleAnswer({...run, latency, incarnation: result.incarnation}, now);
				break;
			}

			case OrderOutcome.TimedOut: {
				this.slowStart.handleUnanswered(run, now);
				if (latency > stuckRatio * (this.serviceTimes.mean ?? 0)) {
					this.slowStart.handleTimeout(now);
				}

				this.serviceTimes.recordCancelled(latency, now);

				break;
			}

			case OrderOutcome.Shed: {
				this.backOff(now);
				this.slowStart.reset(now);
				break;
			}

			case OrderOutcome.Lost:
			case OrderOutcome.Fenced: {
				this.slowStart.reset(now);
				break;
			}

			case OrderOutcome.Cancelled: {
				this.slowStart.handleUnanswered(run, now);
				this.serviceTimes.recordCancelled(latency, now);
				this.slowStart.handleIncarnation(result.incarnation, now);
				break;
			}
		}
	}

	/** Pauses starts, for longer with each consecutive refusal, so that a target that refuses everything is not overloaded further. */
	private backOff(now: number): void {
		this.backOffMs = Math.min(maxBackOffMs, Math.max(minBackOffMs, this.backOffMs * 2));
		this.backOffUntil = now + this.backOffMs;
	}

	private refuseExpired(now: number): Array<Refusal<E>> {
		const refuse: Array<Refusal<E>> = [];
		const until = now + this.serviceTimes.quickestMs;
		for (let entry = this.waitQueue.shiftExpired(until); entry !== undefined; entry = this.waitQueue.shiftExpired(until)) {
			refuse.push({entry, error: ErrorKind.DeadlinePassed});
		}

		return refuse;
	}

	private hasSlot(now: number): boolean {
		return now >= this.backOffUntil && this.slotsInUse(now) < this.slowStart.limit;
	}

	/** Returns the number of slots in use, including those of abandoned requests. */
	private slotsInUse(now: number): number {
		while (this.aborting.length > 0 && this.aborting[0] <= now) {
			this.aborting.shift();
		}

		return this.inFlight + this.aborting.length;
	}

	private startWaiting(now: number): E[] {
		const start: E[] = [];
		while (this.hasSlot(now)) {
			const entry = this.waitQueue.shift();
			if (entry === undefined) {
				break;
			}

			this.begin(entry, now);
			start.push(entry);
		}

		return start;
	}

	private begin(entry: E, now: number): void {
		const atLimit = this.slotsInUse(now) + 1 >= this.slowStart.limit;
		this.running.set(entry.id, {startedAt: now, atLimit});
	}
}
