/**
 * The one place that sends work to a keyed target, or to the targets of a
 * shared service in one failure domain.
 */
import {
	ErrorKind, AttemptOutcome, AdmissionQueue, type Clock, type TargetLimiter, type TargetInfo, type WorkEstimator, type QueuedRequest, type QueueDecision,
} from '@bluebellyard/core';
import {failure, type Order, type OrderResult} from '../dispatch/order.js';
import type {Telemetry} from '../telemetry/index.js';
import type {TargetClient, TargetResult} from './target-client.js';

/** Connections beyond the slots that are kept to a target: for requests whose answer is on its way. */
const spareConnections = 1;

/** Time added to the lapse of a deadline before a request at a target is given up, in milliseconds: the target gives up first. */
const answerSlackMs = 20;

/** A target of a desk. */
export type QueueTarget = TargetInfo & {
	/** Requests a second that it bears while cold. */
	readonly coldRate: number;
};

/** Settings of a desk. */
export type DispatchQueueOptions = {
	readonly client: TargetClient;
	readonly clock: Clock;
	readonly telemetry: Telemetry;
	readonly estimate: WorkEstimator;
	/** Called when a target says that it does not hold the key of an order. */
	readonly onNotOwner: (target: string, order: Order) => void;
};

type Pending = {
	readonly order: Order;
	readonly signal: AbortSignal;
	readonly offeredAt: number;
	readonly settle: (result: OrderResult) => void;
};

/** Kinds of failure by the way a request ended at a target. */
const errorOf: Readonly<Record<Exclude<AttemptOutcome, AttemptOutcome.Answered>, ErrorKind>> = {
	[AttemptOutcome.Full]: ErrorKind.TargetShed,
	[AttemptOutcome.NotRun]: ErrorKind.TargetFenced,
	[AttemptOutcome.Unreachable]: ErrorKind.ConnectFailed,
	[AttemptOutcome.Broken]: ErrorKind.ConnectionLost,
	[AttemptOutcome.TimedOut]: ErrorKind.TargetTimeout,
	[AttemptOutcome.Cancelled]: ErrorKind.CallerGone,
};

/** Time after which to come back when a target refused, in milliseconds. */
const refusedRetryMs = 100;

/** Queue, limits and sending for a group of targets. */
export class DispatchQueue {
	private readonly options: DispatchQueueOptions;
	private readonly gate = new AdmissionQueue();
	private readonly targets = new Map<string, QueueTarget>();
	private readonly pending = new Map<string, Pending>();
	private nextId = 1;
	private timer: NodeJS.Timeout | undefined;

	constructor(options: DispatchQueueOptions) {
		this.options = options;
	}

	/** Requests that wait. */
	get queued(): number {
		return this.gate.queued;
	}

	/** Requests at targets. */
	get inFlight(): number {
		return this.gate.inFlight;
	}

	/** Lasting slowness of its targets. */
	targetSlowness(): Array<readonly [string, number]> {
		return [...this.gate.allTargets()].map(lane => [lane.id, lane.slowness.longTerm] as const);
	}

	/** Sets the targets that may receive work. */
	setTargets(targets: readonly QueueTarget[]): void {
		const now = this.options.clock.now();
		const ids = new Set(targets.map(target => target.id));
		for (const id of this.targets.keys()) {
			if (!ids.has(id)) {
				this.targets.delete(id);
				this.gate.removeTarget(id);
			}
		}

		for (const target of targets) {
			const known = this.targets.get(target.id);
			const lane = this.gate.setTarget({id: target.id, slots: target.slots, coldRate: target.coldRate});
			if (known !== target) {
				this.targets.set(target.id, target);
				if (target.coldLeftMs > 0 && known?.coldLeftMs !== target.coldLeftMs) {
					lane.coldLimiter.markCold(now + target.coldLeftMs);
				}
			}
		}

		if (targets.length === 0) {
			this.refuseAll();
		}

		this.follow(this.gate.tick(now));
	}

	/** Sends an order when its turn comes; never rejects. */
	async run(order: Order, signal: AbortSignal): Promise<OrderResult> {
		const {clock, estimate} = this.options;
		const now = clock.now();
		const item: QueuedRequest = {
			id: String(this.nextId++),
			priority: order.priority,
			objectiveAt: order.objectiveAt,
			deadline: order.deadline,
			workMs: estimate.estimate(order.route, order.objectiveMs),
			excluded: new Set(order.excluded),
			isWarmOnly: order.isWarmOnly,
		};
		return new Promise(resolve => {
			const onAbort = () => {
				if (this.gate.cancel(item.id)) {
					this.settle(item.id, failure(ErrorKind.CallerLeft, {reason: 'the caller left while it waited'}));
				}
			};

			signal.addEventListener('abort', onAbort, {once: true});
			this.pending.set(item.id, {
				order,
				signal,
				offeredAt: now,
				settle(result) {
					signal.removeEventListener('abort', onAbort);
					resolve(result);
				},
			});
			this.follow(this.gate.offer(item, now));
		});
	}

	private refuseAll(): void {
		for (const [id] of this.pending) {
			if (this.gate.cancel(id)) {
				this.settle(id, failure(ErrorKind.NoTarget, {retryAfterMs: refusedRetryMs, reason: 'no target of the desk may receive work'}));
			}
		}
	}

	private follow({starts, refusals}: QueueDecision): void {
		const now = this.options.clock.now();
		for (const {request: item, error, retryAfterMs} of refusals) {
			const waitMs = now - (this.pending.get(item.id)?.offeredAt ?? now);
			this.settle(item.id, failure(error, {
				retryAfterMs, waitMs, reason: `${this.gate.queued} waiting, ${this.gate.inFlight} running, work ${Math.round(item.workMs)} ms`,
			}));
		}

		for (const {request: item, limiter: lane} of starts) {
			void this.send(item, lane);
		}

		this.schedule(now);
	}

	private schedule(now: number): void {
		clearTimeout(this.timer);
		const next = this.gate.nextTick(now);
		if (next !== undefined) {
			this.timer = setTimeout(() => {
				this.follow(this.gate.tick(this.options.clock.now()));
			}, next);
		}
	}

	private async send(item: QueuedRequest, lane: TargetLimiter): Promise<void> {
		const {clock, client, telemetry} = this.options;
		const pending = this.pending.get(item.id);
		const target = this.targets.get(lane.id);
		const startedAt = clock.now();
		if (pending === undefined || target === undefined) {
			this.settle(item.id, failure(ErrorKind.NoTarget, {retryAfterMs: refusedRetryMs, reason: 'the target went'}));
			this.follow(this.gate.finish(lane, AttemptOutcome.Cancelled, 1, startedAt));
			return;
		}

		const {order, signal, offeredAt} = pending;
		const waitMs = startedAt - offeredAt;
		telemetry.metrics.queueWait.observe(waitMs / 1000);
		const outcome = await client.send({
			addr: target.addr,
			target: target.name,
			requestId: order.requestId,
			method: order.method,
			path: order.path,
			headers: order.headers,
			body: order.body,
			timeLeftMs: Math.max(1, Math.floor(order.deadline - startedAt + answerSlackMs)),
			isOnce: order.isOnce,
			connections: target.slots + spareConnections,
			signal,
		});
		const now = clock.now();
		this.learn(order, lane, outcome, now - startedAt);
		const expected = Math.max(1, item.workMs);
		const step = this.gate.finish(lane, outcome.outcome, (now - startedAt) / expected, now);
		this.settle(item.id, this.toResult(order, lane.id, outcome, waitMs));
		this.follow(step);
	}

	private learn(order: Order, lane: TargetLimiter, outcome: TargetResult, tookMs: number): void {
		const {meta} = outcome;
		if (meta?.load !== undefined) {
			lane.slowness.setReportedSlowdown(meta.load.slowdown);
		}

		if (meta?.coldLeftMs !== undefined && meta.coldLeftMs > 0) {
			lane.coldLimiter.markCold(this.options.clock.now() + meta.coldLeftMs);
		}

		if (outcome.outcome === AttemptOutcome.Answered && outcome.status < 500) {
			this.options.estimate.record(order.route, order.objectiveMs, tookMs / lane.slowness.factor);
		}
	}

	private toResult(order: Order, target: string, outcome: TargetResult, waitMs: number): OrderResult {
		const {outcome: ending, status, headers, body, isFramed, isNotRun, reason} = outcome;
		if (ending === AttemptOutcome.Answered) {
			return {
				kind: 'answer', answer: {
					status, headers, body, isFramed,
				}, target, waitMs,
			};
		}

		if (ending === AttemptOutcome.NotRun) {
			this.options.onNotOwner(target, order);
		}

		return failure(errorOf[ending], {
			isNotRun, target, waitMs, reason, retryAfterMs: refusedRetryMs,
		});
	}

	private settle(id: string, result: OrderResult): void {
		const pending = this.pending.get(id);
		this.pending.delete(id);
		pending?.settle(result);
	}
}
