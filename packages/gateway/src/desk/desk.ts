/**
 * The one place that sends work to a keyed target, or to the targets of a
 * shared service in one failure domain.
 */
import {
	ErrorKind, LaneEnding, WorkGate, type Clock, type Lane, type TargetInfo, type WorkEstimate, type WorkItem, type WorkStep,
} from '@bluebellyard/core';
import {failure, type Order, type OrderResult} from '../dispatch/order.js';
import type {Telemetry} from '../telemetry/index.js';
import type {TargetClient, TargetOutcome} from './target-client.js';

/** Connections beyond the slots that are kept to a target: for requests whose answer is on its way. */
const spareConnections = 1;

/** Time added to the lapse of a deadline before a request at a target is given up, in milliseconds: the target gives up first. */
const answerSlackMs = 20;

/** A target of a desk. */
export type DeskTarget = TargetInfo & {
	/** Requests a second that it bears while cold. */
	readonly coldRate: number;
};

/** Settings of a desk. */
export type DeskOptions = {
	readonly client: TargetClient;
	readonly clock: Clock;
	readonly telemetry: Telemetry;
	readonly estimate: WorkEstimate;
	/** Called when a target says that it does not hold the key of an order. */
	readonly onDisowned: (target: string, order: Order) => void;
};

type Pending = {
	readonly order: Order;
	readonly signal: AbortSignal;
	readonly offeredAt: number;
	readonly settle: (result: OrderResult) => void;
};

/** Kinds of failure by the way a request ended at a target. */
const errorOf: Readonly<Record<Exclude<LaneEnding, LaneEnding.Answered>, ErrorKind>> = {
	[LaneEnding.Full]: ErrorKind.TargetShed,
	[LaneEnding.NotRun]: ErrorKind.TargetFenced,
	[LaneEnding.Unreachable]: ErrorKind.ConnectFailed,
	[LaneEnding.Broken]: ErrorKind.ConnectionLost,
	[LaneEnding.Silent]: ErrorKind.TargetTimeout,
	[LaneEnding.Cancelled]: ErrorKind.CallerGone,
};

/** Time after which to come back when a target refused, in milliseconds. */
const refusedRetryMs = 100;

/** Queue, limits and sending for a group of targets. */
export class Desk {
	private readonly options: DeskOptions;
	private readonly gate = new WorkGate();
	private readonly targets = new Map<string, DeskTarget>();
	private readonly pending = new Map<string, Pending>();
	private nextId = 1;
	private timer: NodeJS.Timeout | undefined;

	constructor(options: DeskOptions) {
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
	slowness(): Array<readonly [string, number]> {
		return [...this.gate.allLanes()].map(lane => [lane.id, lane.slowness.lasting] as const);
	}

	/** Sets the targets that may receive work. */
	setTargets(targets: readonly DeskTarget[]): void {
		const now = this.options.clock.now();
		const ids = new Set(targets.map(target => target.id));
		for (const id of this.targets.keys()) {
			if (!ids.has(id)) {
				this.targets.delete(id);
				this.gate.removeLane(id);
			}
		}

		for (const target of targets) {
			const known = this.targets.get(target.id);
			const lane = this.gate.setLane({id: target.id, slots: target.slots, coldRate: target.coldRate});
			if (known !== target) {
				this.targets.set(target.id, target);
				if (target.coldLeftMs > 0 && known?.coldLeftMs !== target.coldLeftMs) {
					lane.cold.setCold(now + target.coldLeftMs);
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
		const item: WorkItem = {
			id: String(this.nextId++),
			priority: order.priority,
			objectiveAt: order.objectiveAt,
			deadline: order.deadline,
			workMs: estimate.of(order.route, order.objectiveMs),
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

	private follow({starts, refusals}: WorkStep): void {
		const now = this.options.clock.now();
		for (const {item, error, retryAfterMs} of refusals) {
			const waitMs = now - (this.pending.get(item.id)?.offeredAt ?? now);
			this.settle(item.id, failure(error, {
				retryAfterMs, waitMs, reason: `${this.gate.queued} waiting, ${this.gate.inFlight} running, work ${Math.round(item.workMs)} ms`,
			}));
		}

		for (const {item, lane} of starts) {
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

	private async send(item: WorkItem, lane: Lane): Promise<void> {
		const {clock, client, telemetry} = this.options;
		const pending = this.pending.get(item.id);
		const target = this.targets.get(lane.id);
		const startedAt = clock.now();
		if (pending === undefined || target === undefined) {
			this.settle(item.id, failure(ErrorKind.NoTarget, {retryAfterMs: refusedRetryMs, reason: 'the target went'}));
			this.follow(this.gate.finish(lane, LaneEnding.Cancelled, 1, startedAt));
			return;
		}

		const {order, signal, offeredAt} = pending;
		const waitMs = startedAt - offeredAt;
		telemetry.metrics.wait.observe(waitMs / 1000);
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
		const step = this.gate.finish(lane, outcome.ending, (now - startedAt) / expected, now);
		this.settle(item.id, this.toResult(order, lane.id, outcome, waitMs));
		this.follow(step);
	}

	private learn(order: Order, lane: Lane, outcome: TargetOutcome, tookMs: number): void {
		const {meta} = outcome;
		if (meta?.load !== undefined) {
			lane.slowness.report(meta.load.noise);
		}

		if (meta?.coldLeftMs !== undefined && meta.coldLeftMs > 0) {
			lane.cold.setCold(this.options.clock.now() + meta.coldLeftMs);
		}

		if (outcome.ending === LaneEnding.Answered && outcome.status < 500) {
			this.options.estimate.learn(order.route, order.objectiveMs, tookMs / lane.slowness.factor);
		}
	}

	private toResult(order: Order, target: string, outcome: TargetOutcome, waitMs: number): OrderResult {
		const {ending, status, headers, body, isFramed, isNotRun, reason} = outcome;
		if (ending === LaneEnding.Answered) {
			return {
				kind: 'answer', answer: {
					status, headers, body, isFramed,
				}, target, waitMs,
			};
		}

		if (ending === LaneEnding.NotRun) {
			this.options.onDisowned(target, order);
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
