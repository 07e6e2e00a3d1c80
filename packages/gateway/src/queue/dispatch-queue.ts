/**
 * Dispatch queue: the queue and the slots in front of one keyed target, or in
 * front of the targets of a shared service in one failure domain. The steward's
 * queue sends the work to these targets; another instance uses its own queue
 * only while it knows no steward or can't reach it.
 */
import {
	ErrorKind, AttemptOutcome, AdmissionQueue, Reservations, RunMode,
	type Clock, type TargetLimiter, type TargetInfo, type StopSchedule, type WorkEstimator, type QueueLoad, type QueuedRequest, type QueueDecision,
} from '@bluebellyard/core';
import type {CrashGuard} from '../dispatch/crash-guard.js';
import {
	failure, hasReturned, toTargetRequest, type FailedResult, type Order, type OrderResult,
} from '../dispatch/order.js';
import type {CancelSignal} from '../net/index.js';
import type {Telemetry} from '../telemetry/index.js';
import type {CrashDetector} from './crash-detector.js';
import {SenderRole, type ConditionTracker} from './condition-tracker.js';
import type {PathChecker} from './path-checker.js';
import {returnKeyOf} from './return-key.js';
import type {TargetClient} from './target-client.js';
import {toAnswer, type TargetResult} from './target-result.js';

/** Connections kept to a target beyond its slots, for requests whose answer is still being transferred. */
const spareConnections = 1;

/** Delay after the deadline before a request at a target is aborted, in milliseconds, so that the target times out first. */
const answerSlackMs = 20;

/** A target of a dispatch queue. */
export type QueueTarget = TargetInfo & {
	/** Requests per second that it can run while cold. */
	readonly coldRate: number;
};

/** State of a dispatch queue. */
export type QueueSnapshot = {
	readonly waiting: number;
	readonly running: number;
	/** Expected wait of a new request, in milliseconds; undefined if no target may receive work. */
	readonly expectedWaitMs: number | undefined;
};

/** Options of a dispatch queue. */
export type DispatchQueueOptions = {
	readonly client: Pick<TargetClient, 'send'>;
	readonly clock: Clock;
	readonly telemetry: Telemetry;
	readonly estimator: WorkEstimator;
	readonly tracker: ConditionTracker;
	readonly crashes: CrashDetector;
	readonly guard: Pick<CrashGuard, 'findSuspect'>;
	/** The time that is left to the process; undefined if it is not limited. */
	readonly stop?: Pick<StopSchedule, 'canAnswer'>;
	/** Returns whether this instance is the steward of the queue. */
	readonly isSteward: () => boolean;
	/** Returns whether the queue reserves capacity for callers that it rejects. */
	readonly isReserving: () => boolean;
	/** Watches the connections to targets, and tells whether another instance should run the orders of this one. */
	readonly paths: Pick<PathChecker, 'watch' | 'isReleased'>;
	/** Returns whether this instance would know by now if it were no longer the steward. */
	readonly hasLeaderContact: () => boolean;
	/** Called when a target answers that it does not own the key of an order. */
	readonly onNotOwner: (target: string, order: Order) => void;
};

type PendingOrder = {
	readonly order: Order;
	readonly signal: CancelSignal;
	readonly queuedAt: number;
	readonly settle: (result: OrderResult) => void;
};

/** Error kind for each outcome of an attempt at a target. */
export const errorByOutcome: Readonly<Record<Exclude<AttemptOutcome, AttemptOutcome.Answered>, ErrorKind>> = {
	[AttemptOutcome.Full]: ErrorKind.TargetShed,
	[AttemptOutcome.NotRun]: ErrorKind.TargetFenced,
	[AttemptOutcome.Unreachable]: ErrorKind.ConnectFailed,
	[AttemptOutcome.Broken]: ErrorKind.ConnectionLost,
	[AttemptOutcome.TimedOut]: ErrorKind.TargetTimeout,
	[AttemptOutcome.Cancelled]: ErrorKind.CallerDisconnected,
};

/** Outcomes that a fault between the sender and the target explains as well as one of the target. */
const pathOutcomes: ReadonlySet<AttemptOutcome> = new Set([AttemptOutcome.Unreachable, AttemptOutcome.Broken]);

/** Retry delay reported with a failed attempt, in milliseconds. */
const refusalRetryMs = 100;

/** Reason of orders that are given back. */
const releaseReason = 'another instance runs the desk';

/** Queues orders for a group of targets, applies the limits of each target and sends the orders. */
export class DispatchQueue {
	private readonly options: DispatchQueueOptions;
	private readonly admission: AdmissionQueue;
	private readonly targets = new Map<string, QueueTarget>();
	private readonly pending = new Map<string, PendingOrder>();
	private nextId = 1;
	private timer: NodeJS.Timeout | undefined;

	constructor(options: DispatchQueueOptions) {
		this.options = options;
		this.admission = new AdmissionQueue(new Reservations(event => {
			options.telemetry.metrics.reservations.inc({result: event});
		}));
		this.admission.setSteward(false, options.clock.now());
	}

	/** Number of queued requests. */
	get queued(): number {
		return this.admission.queued;
	}

	/** Number of requests running at targets. */
	get inFlight(): number {
		return this.admission.inFlight;
	}

	/** Returns the state of the queue as a new request of a priority would find it. */
	snapshot(priority: number): QueueSnapshot {
		const expectedMs = this.admission.expectedWait(priority, this.options.clock.now());
		return {waiting: this.queued, running: this.inFlight, expectedWaitMs: Number.isFinite(expectedMs) ? Math.round(expectedMs) : undefined};
	}

	/** Returns the capacity of the queue and the work ahead. */
	load(): QueueLoad {
		return this.admission.load(this.options.clock.now());
	}

	/** Returns the long-term slowness of each target, by target id. */
	targetSlowness(): Array<readonly [string, number]> {
		return [...this.admission.allTargets()].map(limiter => [limiter.id, limiter.slowness.longTerm] as const);
	}

	/** Replaces the targets that may receive work. */
	setTargets(targets: readonly QueueTarget[]): void {
		const now = this.options.clock.now();
		const ids = new Set(targets.map(target => target.id));
		for (const id of this.targets.keys()) {
			if (!ids.has(id)) {
				this.targets.delete(id);
				this.admission.removeTarget(id);
			}
		}

		for (const target of targets) {
			const previous = this.targets.get(target.id);
			const limiter = this.admission.setTarget({id: target.id, slots: target.slots, coldRate: target.coldRate});
			if (previous !== target) {
				this.targets.set(target.id, target);
				if (target.coldLeftMs > 0 && previous?.coldLeftMs !== target.coldLeftMs) {
					limiter.coldLimiter.markCold(now + target.coldLeftMs);
				}
			}
		}

		if (targets.length === 0) {
			this.refuseAll();
		}

		this.refreshLimits(now);
		this.applyDecision(this.admission.tick(now));
	}

	/** Queues an order and sends it once a target has a free slot. Never rejects. */
	async run(order: Order, signal: CancelSignal): Promise<OrderResult> {
		const {clock, estimator, paths} = this.options;
		if (paths.isReleased) {
			return failure(ErrorKind.NotSteward, {retryAfterMs: refusalRetryMs, reason: releaseReason});
		}

		const now = clock.now();
		this.refreshLimits(now);
		const request: QueuedRequest = {
			id: String(this.nextId++),
			priority: order.priority,
			objectiveAt: order.objectiveAt,
			deadline: order.deadline,
			workMs: estimator.estimate(order.route, order.objectiveMs),
			excluded: new Set(order.excluded),
			skipsRateLimited: order.skipsRateLimited,
			returnKey: this.admission.reservations.isEnabled ? returnKeyOf(order) : undefined,
			hasReturned: hasReturned(order),
			isAlone: order.mode === RunMode.TrialAlone,
		};
		return new Promise(resolve => {
			const onAbort = () => {
				if (this.admission.cancel(request.id)) {
					this.settle(request.id, failure(ErrorKind.CallerDisconnectedBeforeSend, {reason: 'the caller left while it waited'}));
				}
			};

			signal.addEventListener('abort', onAbort, {once: true});
			this.pending.set(request.id, {
				order,
				signal,
				queuedAt: now,
				settle(result) {
					signal.removeEventListener('abort', onAbort);
					resolve(result);
				},
			});
			this.applyDecision(this.admission.offer(request, now));
		});
	}

	/** Gives back orders that wait, as another instance runs the queue or they can't be answered here: all, or those selected. */
	release(isSelected: (order: Order) => boolean = () => true): void {
		for (const [id, {order}] of this.pending) {
			if (isSelected(order) && this.admission.cancel(id)) {
				this.settle(id, failure(ErrorKind.NotSteward, {retryAfterMs: refusalRetryMs, reason: releaseReason}));
			}
		}
	}

	/** Applies what is known about the limits of the targets, and whether this instance may use them. */
	private refreshLimits(now: number): void {
		const {isSteward, isReserving, hasLeaderContact, tracker} = this.options;
		this.admission.setSteward(isSteward(), now);
		this.admission.reservations.setEnabled(isReserving());
		this.admission.updateRateShare(hasLeaderContact(), now);
		const {conditions} = tracker;
		const {isEmpty} = conditions;
		for (const limiter of this.admission.allTargets()) {
			limiter.namedLimiter.setLimit(isEmpty ? undefined : conditions.limit(limiter.id, now), now);
		}
	}

	private refuseAll(): void {
		for (const [id] of this.pending) {
			if (this.admission.cancel(id)) {
				this.settle(id, failure(ErrorKind.NoTarget, {retryAfterMs: refusalRetryMs, reason: 'no target of the desk may receive work'}));
			}
		}
	}

	private applyDecision({starts, refusals}: QueueDecision): void {
		const now = this.options.clock.now();
		for (const {
			request, error, retryAfterMs, isReserved,
		} of refusals) {
			const waitMs = now - (this.pending.get(request.id)?.queuedAt ?? now);
			this.settle(request.id, failure(error, {
				retryAfterMs, waitMs, reason: `${this.admission.queued} waiting, ${this.admission.inFlight} running, work ${Math.round(request.workMs)} ms`,
				...(isReserved !== undefined && {isReserved}),
			}));
		}

		for (const {request, limiter} of starts) {
			void this.send(request, limiter);
		}

		this.schedule(now);
	}

	private schedule(now: number): void {
		clearTimeout(this.timer);
		const next = this.admission.nextTick(now);
		if (next !== undefined) {
			this.timer = setTimeout(() => {
				const tickAt = this.options.clock.now();
				this.refreshLimits(tickAt);
				this.applyDecision(this.admission.tick(tickAt));
			}, next);
		}
	}

	private async send(request: QueuedRequest, limiter: TargetLimiter): Promise<void> {
		const {clock, client, telemetry} = this.options;
		const pending = this.pending.get(request.id);
		const target = this.targets.get(limiter.id);
		const startedAt = clock.now();
		if (pending === undefined || target === undefined) {
			this.settle(request.id, failure(ErrorKind.NoTarget, {retryAfterMs: refusalRetryMs, reason: 'the target went'}));
			this.applyDecision(this.admission.finish(limiter, AttemptOutcome.Cancelled, 1, startedAt));
			return;
		}

		const {order, signal, queuedAt} = pending;
		const waitMs = startedAt - queuedAt;
		const obstacle = this.findObstacle(order, waitMs);
		if (obstacle !== undefined) {
			this.settle(request.id, obstacle);
			// All orders of a long queue may have an obstacle, and the next one is sent by this call.
			queueMicrotask(() => {
				this.applyDecision(this.admission.finish(limiter, AttemptOutcome.Cancelled, 1, startedAt));
			});
			return;
		}

		telemetry.metrics.queueWait.observe(waitMs / 1000);
		const role = this.options.isSteward() ? SenderRole.Steward : SenderRole.Other;
		this.options.tracker.recordSend(target.id, role);
		this.options.crashes.recordSend(target, order);
		const expectedMs = Math.max(1, request.workMs);
		// A permit may be used some time after the start, which the limit of a target on requests per second does not allow for.
		const sender = limiter.isRateLimited(startedAt) ? undefined : order.sender;
		// The path of another instance that sends the order tells nothing of this one's.
		const watch = sender === undefined
			? this.options.paths.watch({
				target: target.id, expectedMs: expectedMs * limiter.slowness.factor, mayEnd: !order.isOnce && order.mode === RunMode.Usual,
			})
			: undefined;
		const result = await (sender ?? client).send({
			addr: target.addr,
			target: target.name,
			...toTargetRequest(order),
			timeLeftMs: Math.max(1, Math.floor(order.deadline - startedAt + answerSlackMs)),
			connections: target.slots + spareConnections,
			signal,
			observer: watch,
		}, target);
		watch?.end(result);
		const isTargetGone = await this.options.crashes.recordResult(target, order, result);
		const now = clock.now();
		this.options.tracker.recordResult(target.id, {
			result, name: target.name, sentAt: startedAt, role,
		});
		this.refreshLimits(now);
		const tookMs = result.tookMs ?? now - startedAt;
		this.recordFeedback(order, limiter, result, tookMs);
		// A connection that broke at another instance may be due to its path; the steward checks whether the target has ended.
		const isPathDoubtful = order.sender !== undefined && !isTargetGone && pathOutcomes.has(result.outcome);
		const decision = this.admission.finish(limiter, isPathDoubtful ? AttemptOutcome.Cancelled : result.outcome, tookMs / expectedMs, now);
		this.settle(request.id, this.toOrderResult(order, limiter.id, result, {waitMs, isTargetGone}));
		this.applyDecision(decision);
	}

	/** Returns why an order that has waited is not sent; undefined if it is. */
	private findObstacle(order: Order, waitMs: number): FailedResult | undefined {
		const {guard, stop} = this.options;
		if (order.mode === RunMode.Usual && guard.findSuspect(order) !== undefined) {
			return failure(ErrorKind.CrashSuspect, {retryAfterMs: refusalRetryMs, waitMs, reason: 'targets ended under the same request while it waited'});
		}

		return stop?.canAnswer(order) === false ? failure(ErrorKind.NotSteward, {retryAfterMs: refusalRetryMs, waitMs, reason: 'the process ends before the request can be answered'}) : undefined;
	}

	private recordFeedback(order: Order, limiter: TargetLimiter, result: TargetResult, tookMs: number): void {
		const {meta} = result;
		if (meta?.load !== undefined) {
			limiter.slowness.setReportedSlowdown(meta.load.slowdown);
		}

		if (result.outcome === AttemptOutcome.Full && meta?.pauseMs !== undefined && meta.pauseMs > 0) {
			limiter.pause(meta.pauseMs, this.options.clock.now());
			this.options.telemetry.metrics.pauses.inc();
			this.options.telemetry.trace('targets', 'A target asked for a pause.', {target: limiter.id, pauseMs: meta.pauseMs, id: order.requestId});
		}

		if (meta?.coldLeftMs !== undefined && meta.coldLeftMs > 0) {
			limiter.coldLimiter.markCold(this.options.clock.now() + meta.coldLeftMs);
		}

		if (result.outcome === AttemptOutcome.Answered && result.status < 500) {
			this.options.estimator.record(order.route, order.objectiveMs, tookMs / limiter.slowness.factor);
		}
	}

	private toOrderResult(order: Order, target: string, result: TargetResult, {waitMs, isTargetGone}: {waitMs: number; isTargetGone: boolean}): OrderResult {
		const {outcome, isNotRun, reason} = result;
		if (outcome === AttemptOutcome.Answered) {
			return {
				kind: 'answer', answer: toAnswer(result), target, waitMs,
			};
		}

		if (outcome === AttemptOutcome.Unreachable && isNotRun && this.options.paths.isReleased) {
			// No target was reached, so that another instance can run the order at no cost.
			return failure(ErrorKind.NotSteward, {waitMs, reason, retryAfterMs: refusalRetryMs});
		}

		if (outcome === AttemptOutcome.NotRun) {
			this.options.onNotOwner(target, order);
		}

		return failure(errorByOutcome[outcome], {
			isNotRun, target, waitMs, reason, isTargetGone, retryAfterMs: refusalRetryMs,
		});
	}

	private settle(id: string, result: OrderResult): void {
		const pending = this.pending.get(id);
		this.pending.delete(id);
		pending?.settle(result);
	}
}
