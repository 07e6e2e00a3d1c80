import {ErrorKind} from '../errors/index.js';
import {
	AdmissionKind, CancelResult, OrderOutcome, type Admission, type QueueEntry, type Refusal, type OrderCompletion, type AdmissionDecision,
} from './queue-entry.js';
import type {LoadReport} from './load-table.js';
import {SlowStartLimiter, type GrantReport} from './slow-start-limiter.js';
import {ServiceTimeMeter, adjustForAges} from './service-time-meter.js';
import {WaitQueue} from './wait-queue.js';

/** Share of the queue's length by which entries that were admitted before may exceed it. */
const reserveShare = 0.25;

/**
 * Time for which a request that we gave up keeps its slot, in milliseconds:
 * the target learns of it later than we do and runs it until then.
 */
const abortMs = 50;

/** Ratio to the mean service time above which a timeout is the target's fault and not that of a close deadline. */
const stuckRatio = 8;

/** Time without starts after a refusal of the target, in milliseconds; doubles up to the largest. */
const minBackOffMs = 10;
const maxBackOffMs = 160;

/** Settings of a gate. */
export type TargetAdmissionCfg = {
	/** Requests that a warm target runs at the same time. */
	readonly slots: number;
	/** Requests that may wait. */
	readonly queue: number;
	/** Largest share of the queue for one caller, 0 to 1. */
	readonly callerShare: number;
};

/** Share of the queue for one caller unless settings say otherwise. */
export const defaultCallerShare = 0.5;

/** Endings after which the target may still run the request for a moment. */
const givenUp = new Set([OrderOutcome.Cancelled, OrderOutcome.TimedOut, OrderOutcome.Lost]);

type Running = {
	readonly startedAt: number;
	readonly atLimit: boolean;
};

/**
 * Admission to one target, in the hands of its steward: limit in flight, fair bounded queue,
 * refusal of what can't be answered in time, handover.
 */
export class TargetAdmission<E extends QueueEntry = QueueEntry> {
	/** The cold-start limit. */
	readonly slowStart: SlowStartLimiter;
	private readonly line = new WaitQueue<E>();
	private readonly running = new Map<string, Running>();
	private readonly service = new ServiceTimeMeter();
	/** Times at which the slots of given-up requests are free again, ascending. */
	private readonly aborting: number[] = [];
	private backOffMs = 0;
	private heldUntil = Number.NEGATIVE_INFINITY;
	private paused = false;

	/** `ramp` replaces the usual cold-start limit. */
	constructor(private readonly cfg: TargetAdmissionCfg, ramp?: SlowStartLimiter) {
		this.slowStart = ramp ?? new SlowStartLimiter(cfg.slots);
	}

	/** Requests in flight. */
	get inFlight(): number {
		return this.running.size;
	}

	/** Requests that wait. */
	get queued(): number {
		return this.line.size;
	}

	/** Whether the gate is paused and nothing runs at the target any more. */
	isDrained(now: number): boolean {
		return this.paused && this.taken(now) === 0;
	}

	/** Figures for the answers to other instances. */
	load(now: number): LoadReport {
		return {
			inFlight: this.inFlight,
			queued: this.queued,
			limit: this.slowStart.limit,
			serviceMs: this.recentServiceMs(now) ?? 0,
		};
	}

	/** Asks for a request to be sent. */
	offer(entry: E, now: number): Admission {
		const error = this.refusalFor(entry, now);
		if (error !== undefined) {
			return {kind: AdmissionKind.Refused, error};
		}

		if (this.queued === 0 && this.hasSlot(now)) {
			this.begin(entry, now);
			return {kind: AdmissionKind.Start};
		}

		this.line.push(entry);
		return {kind: AdmissionKind.Queued};
	}

	/** Takes the end of a started request; starts what may follow. */
	finish(id: string, result: OrderCompletion, now: number): AdmissionDecision<E> {
		const run = this.running.get(id);
		if (run !== undefined) {
			this.running.delete(id);
			this.learn(run, result, now);
		}

		return this.tick(now);
	}

	/** Refuses what can no longer be served and starts what may start. */
	tick(now: number): AdmissionDecision<E> {
		const refuse = this.expire(now);
		return {start: this.startable(now), refuse};
	}

	/** Monotonic time at which to call `tick` at the latest; undefined when nothing waits. */
	nextTick(now: number): number | undefined {
		const deadline = this.line.earliestDeadline;
		if (deadline === undefined) {
			return undefined;
		}

		const expiry = deadline - this.service.quickestMs;
		const held = this.heldUntil > now ? this.heldUntil : expiry;
		return Math.min(expiry, held, this.aborting[0] ?? expiry);
	}

	/** Gives up a request. One in flight keeps its slot until `finish`. */
	cancel(id: string): CancelResult {
		if (this.running.has(id)) {
			return CancelResult.InFlight;
		}

		return this.line.remove(id) === undefined ? CancelResult.Unknown : CancelResult.Dequeued;
	}

	/** Stops starting; answers the queued entries, to be handed to the next steward. */
	pause(): Array<Refusal<E>> {
		this.paused = true;
		return this.line.clear().map(entry => ({entry, error: ErrorKind.NotSteward}));
	}

	/** Takes offers again. */
	resume(): void {
		this.paused = false;
	}

	/** Takes the target's answer to a grant; may start entries. */
	handleGrant(answer: GrantReport, now: number): AdmissionDecision<E> {
		this.slowStart.handleGrant(answer, now);
		return this.tick(now);
	}

	/** Takes note that the target was lost or came back. */
	handleTargetLost(now: number): void {
		this.slowStart.reset(now);
	}

	/** Mean time for one request in milliseconds, by answers and by the age of what is in flight. */
	serviceMs(now: number): number | undefined {
		return adjustForAges(this.service.mean, this.ages(now));
	}

	/** The recent median with the ages of what runs; a target with old work in flight stays known as slow. */
	private recentServiceMs(now: number): number | undefined {
		const isBusy = this.inFlight > 0 && this.service.isKnown;
		return adjustForAges(this.service.recentMedian(now) ?? (isBusy ? this.service.mean : undefined), this.ages(now));
	}

	private ages(now: number): number[] {
		return [...this.running.values()].map(run => now - run.startedAt);
	}

	private refusalFor(entry: E, now: number): ErrorKind | undefined {
		if (this.paused) {
			return ErrorKind.NotSteward;
		}

		if (entry.deadline <= now) {
			return ErrorKind.DeadlinePassed;
		}

		// Only a new answer can correct an estimate that is too long, so an idle target is always tried.
		if (this.queued === 0 && this.hasSlot(now) && this.inFlight === 0) {
			return undefined;
		}

		if (now + this.service.quickestMs > entry.deadline) {
			return ErrorKind.DeadlineTooClose;
		}

		if (this.queued === 0 && this.hasSlot(now)) {
			return undefined;
		}

		return this.roomRefusal(entry) ?? this.timeRefusal(entry, now);
	}

	private roomRefusal(entry: E): ErrorKind | undefined {
		if (entry.mayWait === false) {
			return ErrorKind.QueueFull;
		}

		const reserve = entry.admitted ? Math.ceil(this.cfg.queue * reserveShare) : 0;
		if (this.queued >= this.cfg.queue + reserve) {
			return ErrorKind.QueueFull;
		}

		const share = Math.max(1, Math.floor(this.cfg.queue * this.cfg.callerShare));
		return !entry.admitted && this.line.countByCaller(entry.caller) >= share ? ErrorKind.CallerShare : undefined;
	}

	private timeRefusal(entry: E, now: number): ErrorKind | undefined {
		const service = this.serviceMs(now);
		if (service === undefined) {
			return undefined;
		}

		const rounds = (this.line.countAhead(entry) + this.inFlight) / this.slowStart.limit;
		const held = Math.max(0, this.heldUntil - now);
		return now + held + ((rounds + 1) * service) > entry.deadline ? ErrorKind.DeadlineTooClose : undefined;
	}

	private learn(run: Running, result: OrderCompletion, now: number): void {
		const latency = now - run.startedAt;
		if (givenUp.has(result.outcome)) {
			this.aborting.push(now + abortMs);
		}

		switch (result.outcome) {
			case OrderOutcome.Answered: {
				this.service.recordAnswer(latency, now);
				this.backOffMs = 0;
				this.slowStart.handleAnswer({...run, latency, incarnation: result.incarnation}, now);
				break;
			}

			case OrderOutcome.TimedOut: {
				this.slowStart.handleUnanswered(run, now);
				if (latency > stuckRatio * (this.service.mean ?? 0)) {
					this.slowStart.handleTimeout(now);
				}

				this.service.recordCancelled(latency, now);

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
				this.service.recordCancelled(latency, now);
				this.slowStart.handleIncarnation(result.incarnation, now);
				break;
			}
		}
	}

	/** Waits longer with each refusal in a row, so that a target that refuses everything is not pressed. */
	private backOff(now: number): void {
		this.backOffMs = Math.min(maxBackOffMs, Math.max(minBackOffMs, this.backOffMs * 2));
		this.heldUntil = now + this.backOffMs;
	}

	private expire(now: number): Array<Refusal<E>> {
		const refuse: Array<Refusal<E>> = [];
		const until = now + this.service.quickestMs;
		for (let entry = this.line.shiftExpired(until); entry !== undefined; entry = this.line.shiftExpired(until)) {
			refuse.push({entry, error: ErrorKind.DeadlinePassed});
		}

		return refuse;
	}

	private hasSlot(now: number): boolean {
		return now >= this.heldUntil && this.taken(now) < this.slowStart.limit;
	}

	/** Slots in use, those of given-up requests included. */
	private taken(now: number): number {
		while (this.aborting.length > 0 && this.aborting[0] <= now) {
			this.aborting.shift();
		}

		return this.inFlight + this.aborting.length;
	}

	private startable(now: number): E[] {
		const start: E[] = [];
		while (this.hasSlot(now)) {
			const entry = this.line.shift();
			if (entry === undefined) {
				break;
			}

			this.begin(entry, now);
			start.push(entry);
		}

		return start;
	}

	private begin(entry: E, now: number): void {
		const atLimit = this.taken(now) + 1 >= this.slowStart.limit;
		this.running.set(entry.id, {startedAt: now, atLimit});
	}
}
