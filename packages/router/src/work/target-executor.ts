import {
	AdmissionKind, OrderOutcome, ErrorKind, Outcome, RequestError, TargetAdmission, type Permit, type OrderCompletion, type AdmissionDecision,
} from '@bluebellyard/core';
import {LoadMeter} from './load-meter.js';
import {headerText} from './headers.js';
import {orderIdHeader} from './exchange.js';
import type {Answer, Order} from './order.js';
import type {TargetClient} from './target-client.js';

/** Returns the permit to send one order now; undefined when there is none. */
export type RequestPermit = (order: Order) => Permit | undefined;

/** Settings and dependencies of `TargetExecutor`. */
export type TargetExecutorOptions = {
	readonly target: string;
	readonly client: TargetClient;
	readonly slots: number;
	readonly queue: number;
	readonly isKeyed: boolean;
	/** Whether the target checks fences itself; otherwise the timeout of each order ends with the lease. */
	readonly isFenced: boolean;
	readonly now: () => number;
	readonly requestPermit: RequestPermit;
	/** Returns whether an order without a key may be sent now. */
	readonly maySendUnkeyed: () => boolean;
};

type QueuedOrder = {
	readonly order: Order;
	readonly start: () => void;
	readonly refuse: (err: RequestError) => void;
};

/** Maximum share of the queue for one caller, 0 to 1. */
const callerShare = 0.5;

/** Outcome that the admission gets for each kind of failure; other kinds count as cancelled. */
const outcomes: Readonly<Partial<Record<ErrorKind, OrderOutcome>>> = {
	[ErrorKind.TargetShed]: OrderOutcome.Shed,
	[ErrorKind.TargetFenced]: OrderOutcome.Fenced,
	[ErrorKind.TargetTimeout]: OrderOutcome.TimedOut,
	[ErrorKind.ConnectFailed]: OrderOutcome.Lost,
	[ErrorKind.ConnectionLost]: OrderOutcome.Lost,
	[ErrorKind.TruncatedAnswer]: OrderOutcome.Lost,
};

/** Queues and sends the orders for one target, on the instance that is its steward. */
export class TargetExecutor {
	readonly admission: TargetAdmission;
	/** Requests by shard and key. */
	readonly meter = new LoadMeter();
	private readonly queuedOrders = new Map<string, QueuedOrder>();
	private readonly inFlight = new Map<string, Order>();
	private readonly drainedShards = new Map<number, () => void>();
	private onDrained: (() => void) | undefined;
	private timer: NodeJS.Timeout | undefined;

	constructor(private readonly options: TargetExecutorOptions) {
		const {slots, queue} = options;
		this.admission = new TargetAdmission({slots, queue, callerShare});
	}

	/** Sends an order as soon as a slot is free; rejects with a `RequestError`. */
	async submit(order: Order): Promise<Answer> {
		if (this.options.isKeyed) {
			this.meter.count(order.shard, order.key);
		}

		this.checkOpen(order.shard);
		if (order.signal.aborted) {
			throw new RequestError(ErrorKind.CallerDisconnectedBeforeSend);
		}

		const result = this.admission.offer(order, this.options.now());
		switch (result.kind) {
			case AdmissionKind.Start: {
				return this.run(order);
			}

			case AdmissionKind.Queued: {
				await this.waitForSlot(order);
				return this.run(order);
			}

			case AdmissionKind.Refused: {
				throw new RequestError(result.error);
			}
		}
	}

	/** Throws `NotSteward` when the target or the shard is being handed over. */
	checkOpen(shard: number): void {
		if (this.onDrained !== undefined || this.drainedShards.has(shard)) {
			throw new RequestError(ErrorKind.NotSteward);
		}
	}

	/** Refuses queued and new orders of a shard; resolves when none of its orders is in flight. */
	async drainShard(shard: number): Promise<void> {
		return new Promise(resolve => {
			this.drainedShards.set(shard, resolve);
			for (const {order, refuse} of this.queuedOrders.values()) {
				if (order.shard === shard) {
					this.admission.cancel(order.id);
					this.queuedOrders.delete(order.id);
					refuse(new RequestError(ErrorKind.NotSteward));
				}
			}

			this.notifyDrained();
		});
	}

	/** Refuses queued and new orders of the target; resolves when none is in flight. */
	async drain(): Promise<void> {
		return new Promise(resolve => {
			this.onDrained = resolve;
			this.apply({start: [], refuse: this.admission.pause()});
			this.notifyDrained();
		});
	}

	/** Accepts orders again, for one shard or for the target. */
	resume(shard?: number): void {
		if (shard !== undefined) {
			this.drainedShards.delete(shard);
			return;
		}

		this.onDrained = undefined;
		this.admission.resume();
	}

	/** Handles the target's answer to a grant that was sent at monotonic time `sentAt`. */
	handleGrant(incarnation: string, cold: boolean, sentAt: number): void {
		this.apply(this.admission.handleGrant({incarnation, cold, sentAt}, this.options.now()));
	}

	/** Sets the expected service time of a warm target, in milliseconds. */
	setReference(ms: number | undefined): void {
		this.admission.slowStart.setReference(ms);
	}

	/** Sets the number of requests that a warm target runs at the same time. */
	setSlots(slots: number): void {
		this.admission.slowStart.setSlots(slots);
	}

	/** Refuses all queued orders and stops the timer. */
	close(): void {
		clearTimeout(this.timer);
		this.timer = undefined;
		this.apply({start: [], refuse: this.admission.pause()});
	}

	private async waitForSlot(order: Order): Promise<void> {
		return new Promise((resolve, reject) => {
			const onAbort = () => {
				this.queuedOrders.delete(order.id);
				this.admission.cancel(order.id);
				reject(new RequestError(ErrorKind.CallerDisconnectedBeforeSend));
			};

			order.signal.addEventListener('abort', onAbort, {once: true});
			this.queuedOrders.set(order.id, {
				order,
				start() {
					order.signal.removeEventListener('abort', onAbort);
					resolve();
				},
				refuse(err) {
					order.signal.removeEventListener('abort', onAbort);
					reject(err);
				},
			});
			this.scheduleTick();
		});
	}

	private async run(order: Order): Promise<Answer> {
		this.inFlight.set(order.id, order);
		let outcome: OrderOutcome = OrderOutcome.Cancelled;
		try {
			const answer = await this.send(order);
			outcome = OrderOutcome.Answered;
			return answer;
		} catch (err) {
			const error = err instanceof RequestError ? err : new RequestError(ErrorKind.Internal, String(err));
			outcome = outcomes[error.kind] ?? OrderOutcome.Cancelled;
			throw error;
		} finally {
			this.finish(order, {outcome});
		}
	}

	private async send(order: Order): Promise<Answer> {
		const {client, isFenced, now} = this.options;
		const permit = this.checkPermit(order);
		const remainingMs = order.deadline - now();
		const timeoutMs = permit === undefined || isFenced ? remainingMs : Math.min(remainingMs, permit.until - now());
		// A target that checks fences stops the request itself when its lease ends, and continues when the lease is renewed.
		const bounded = permit !== undefined && isFenced ? {...permit, targetUntil: Infinity} : permit;
		const answer = await client.send(order, bounded, timeoutMs, () => {
			this.checkPermit(order);
		});
		checkAnswer(order, answer);
		return answer;
	}

	/** Returns the permit to send an order, undefined for one without a key; throws when the order must not be sent. */
	private checkPermit(order: Order): Permit | undefined {
		const {isKeyed, maySendUnkeyed, requestPermit} = this.options;
		if (!isKeyed) {
			if (!maySendUnkeyed()) {
				throw new RequestError(ErrorKind.NotSteward);
			}

			return undefined;
		}

		const permit = requestPermit(order);
		if (permit === undefined) {
			throw new RequestError(ErrorKind.NotEntitled);
		}

		return permit;
	}

	private finish(order: Order, result: OrderCompletion): void {
		this.inFlight.delete(order.id);
		this.apply(this.admission.finish(order.id, result, this.options.now()));
		this.notifyDrained();
	}

	private apply(decision: AdmissionDecision): void {
		for (const entry of decision.start) {
			const queued = this.queuedOrders.get(entry.id);
			this.queuedOrders.delete(entry.id);
			queued?.start();
		}

		for (const {entry, error} of decision.refuse) {
			const queued = this.queuedOrders.get(entry.id);
			this.queuedOrders.delete(entry.id);
			queued?.refuse(new RequestError(error));
		}

		this.scheduleTick();
	}

	/** Sets the timer for the next time at which the admission has to be evaluated. */
	private scheduleTick(): void {
		clearTimeout(this.timer);
		this.timer = undefined;
		const now = this.options.now();
		const next = this.admission.nextTick(now);
		if (next !== undefined && this.queuedOrders.size > 0) {
			this.timer = setTimeout(() => {
				this.apply(this.admission.tick(this.options.now()));
			}, Math.max(1, next - now));
		}
	}

	private notifyDrained(): void {
		if (this.drainedShards.size === 0 && this.onDrained === undefined) {
			return;
		}

		const busyShards = new Set([...this.inFlight.values()].map(order => order.shard));
		for (const [shard, onShardDrained] of this.drainedShards) {
			if (!busyShards.has(shard)) {
				onShardDrained();
			}
		}

		if (busyShards.size === 0) {
			this.onDrained?.();
		}
	}
}

/** Throws when the answer belongs to another order, or reports that the order was not run or was aborted. */
function checkAnswer(order: Order, answer: Answer): void {
	// What the answer to another order states is not about this one.
	const answeredId = headerText(answer.headers, orderIdHeader);
	if (answeredId !== '' && answeredId !== order.id) {
		throw new RequestError(ErrorKind.TruncatedAnswer, 'The answer carries the id of another order.');
	}

	const notRunReason = headerText(answer.headers, 'x-not-run');
	if (notRunReason !== '') {
		throw new RequestError(notRunReason === 'fenced' ? ErrorKind.TargetFenced : ErrorKind.TargetShed, notRunReason);
	}

	if (headerText(answer.headers, 'x-aborted') !== '') {
		throw new RequestError(ErrorKind.TargetTimeout, 'The target aborted the order.');
	}
}

/** Returns whether an error proves that the request did not run. */
export function isNotRun(err: unknown): boolean {
	return err instanceof RequestError && err.answer.outcome === Outcome.NotRun;
}
