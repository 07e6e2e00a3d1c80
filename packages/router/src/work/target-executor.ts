import {
	AdmissionKind, OrderOutcome, ErrorKind, Outcome, RequestError, TargetAdmission, type Permit, type OrderCompletion, type AdmissionDecision,
} from '@bluebellyard/core';
import {LoadMeter} from './load-meter.js';
import {headerText} from './headers.js';
import type {Answer, Order} from './order.js';
import type {TargetClient} from './target-client.js';

/** Asks for leave to send one order now; undefined when there is none. */
export type RequestPermit = (order: Order) => Permit | undefined;

/** What a work needs to know of its pool and member. */
export type TargetExecutorOptions = {
	readonly target: string;
	readonly client: TargetClient;
	readonly slots: number;
	readonly queue: number;
	readonly isKeyed: boolean;
	/** Whether the target checks fences itself; else the lease bounds each order. */
	readonly isFenced: boolean;
	readonly now: () => number;
	readonly requestPermit: RequestPermit;
	/** Whether an order without a key may be sent now. */
	readonly maySendUnkeyed: () => boolean;
};

type Waiting = {
	readonly order: Order;
	readonly start: () => void;
	readonly refuse: (err: RequestError) => void;
};

/** Share of a queue that one caller may fill. */
const callerShare = 0.5;

/** Kinds by which a failed exchange tells how it ended for the gate. */
const endings: Readonly<Partial<Record<ErrorKind, OrderOutcome>>> = {
	[ErrorKind.TargetShed]: OrderOutcome.Shed,
	[ErrorKind.TargetFenced]: OrderOutcome.Fenced,
	[ErrorKind.TargetTimeout]: OrderOutcome.TimedOut,
	[ErrorKind.ConnectFailed]: OrderOutcome.Lost,
	[ErrorKind.ConnectionLost]: OrderOutcome.Lost,
	[ErrorKind.TruncatedAnswer]: OrderOutcome.Lost,
};

/** The work on one target, in the hands of its steward. */
export class TargetExecutor {
	readonly admission: TargetAdmission;
	/** Load by shard and key. */
	readonly meter = new LoadMeter();
	private readonly waiting = new Map<string, Waiting>();
	private readonly inFlight = new Map<string, Order>();
	private readonly drainedShards = new Map<number, () => void>();
	private onDrained: (() => void) | undefined;
	private timer: NodeJS.Timeout | undefined;

	constructor(private readonly options: TargetExecutorOptions) {
		const {slots, queue} = options;
		this.admission = new TargetAdmission({slots, queue, callerShare});
	}

	/** Sends an order as soon as a slot is free; fails with a `RequestError`. */
	async submit(order: Order): Promise<Answer> {
		if (this.options.isKeyed) {
			this.meter.count(order.shard, order.key);
		}

		this.checkOpen(order.shard);
		const admission = this.admission.offer(order, this.options.now());
		switch (admission.kind) {
			case AdmissionKind.Start: {
				return this.run(order);
			}

			case AdmissionKind.Queued: {
				await this.wait(order);
				return this.run(order);
			}

			case AdmissionKind.Refused: {
				throw new RequestError(admission.error);
			}
		}
	}

	/** Throws when the target or the shard is being handed over. */
	checkOpen(shard: number): void {
		if (this.onDrained !== undefined || this.drainedShards.has(shard)) {
			throw new RequestError(ErrorKind.NotSteward);
		}
	}

	/** Stops new work on a shard; resolves when none is in flight. */
	async drainShard(shard: number): Promise<void> {
		return new Promise(resolve => {
			this.drainedShards.set(shard, resolve);
			for (const {order, refuse} of this.waiting.values()) {
				if (order.shard === shard) {
					this.admission.cancel(order.id);
					this.waiting.delete(order.id);
					refuse(new RequestError(ErrorKind.NotSteward));
				}
			}

			this.reportDrained();
		});
	}

	/** Stops new work on the target; resolves when none is in flight. */
	async drain(): Promise<void> {
		return new Promise(resolve => {
			this.onDrained = resolve;
			this.apply({start: [], refuse: this.admission.pause()});
			this.reportDrained();
		});
	}

	/** Takes up work again, on one shard or all. */
	resume(shard?: number): void {
		if (shard !== undefined) {
			this.drainedShards.delete(shard);
			return;
		}

		this.onDrained = undefined;
		this.admission.resume();
	}

	/** Takes the target's answer to a grant sent at `askedAt`. */
	handleGrant(incarnation: string, cold: boolean, askedAt: number): void {
		this.apply(this.admission.handleGrant({incarnation, cold, sentAt: askedAt}, this.options.now()));
	}

	/** Sets the time in milliseconds that a warm target is expected to take. */
	setReference(ms: number | undefined): void {
		this.admission.slowStart.setReference(ms);
	}

	/** Changes the number of requests that a warm target runs at the same time. */
	setSlots(slots: number): void {
		this.admission.slowStart.setSlots(slots);
	}

	/** Refuses all that waits and ends the timers. */
	close(): void {
		clearTimeout(this.timer);
		this.timer = undefined;
		this.apply({start: [], refuse: this.admission.pause()});
	}

	private async wait(order: Order): Promise<void> {
		return new Promise((resolve, reject) => {
			const onAbort = () => {
				this.waiting.delete(order.id);
				this.admission.cancel(order.id);
				reject(new RequestError(ErrorKind.CallerLeft));
			};

			order.signal.addEventListener('abort', onAbort, {once: true});
			this.waiting.set(order.id, {
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
			this.plan();
		});
	}

	private async run(order: Order): Promise<Answer> {
		this.inFlight.set(order.id, order);
		let ending: OrderOutcome = OrderOutcome.Cancelled;
		try {
			const answer = await this.send(order);
			ending = OrderOutcome.Answered;
			return answer;
		} catch (err) {
			const error = err instanceof RequestError ? err : new RequestError(ErrorKind.Internal, String(err));
			ending = endings[error.kind] ?? OrderOutcome.Cancelled;
			throw error;
		} finally {
			this.finish(order, {outcome: ending});
		}
	}

	private async send(order: Order): Promise<Answer> {
		const {client: link, isFenced, now} = this.options;
		const permit = this.permit(order);
		const left = order.deadline - now();
		const timeoutMs = permit === undefined || isFenced ? left : Math.min(left, permit.until - now());
		// A target that checks fences stops by itself when its lease ends; a renewed lease lets it go on.
		const bounded = permit !== undefined && isFenced ? {...permit, targetUntil: Infinity} : permit;
		const answer = await link.send(order, bounded, timeoutMs, () => {
			this.permit(order);
		});
		checkAnswer(order, answer);
		return answer;
	}

	/** Leave to send; throws when there is none. Orders without a key need none. */
	private permit(order: Order): Permit | undefined {
		const {isKeyed, maySendUnkeyed: mayUse, requestPermit: askPermit} = this.options;
		if (!isKeyed) {
			if (!mayUse()) {
				throw new RequestError(ErrorKind.NotSteward);
			}

			return undefined;
		}

		const permit = askPermit(order);
		if (permit === undefined) {
			throw new RequestError(ErrorKind.NotEntitled);
		}

		return permit;
	}

	private finish(order: Order, result: OrderCompletion): void {
		this.inFlight.delete(order.id);
		this.apply(this.admission.finish(order.id, result, this.options.now()));
		this.reportDrained();
	}

	private apply(step: AdmissionDecision): void {
		for (const entry of step.start) {
			const waiting = this.waiting.get(entry.id);
			this.waiting.delete(entry.id);
			waiting?.start();
		}

		for (const {entry, error} of step.refuse) {
			const waiting = this.waiting.get(entry.id);
			this.waiting.delete(entry.id);
			waiting?.refuse(new RequestError(error));
		}

		this.plan();
	}

	/** Sets the timer for the next deadline in the queue. */
	private plan(): void {
		clearTimeout(this.timer);
		this.timer = undefined;
		const now = this.options.now();
		const next = this.admission.nextTick(now);
		if (next !== undefined && this.waiting.size > 0) {
			this.timer = setTimeout(() => {
				this.apply(this.admission.tick(this.options.now()));
			}, Math.max(1, next - now));
		}
	}

	private reportDrained(): void {
		if (this.drainedShards.size === 0 && this.onDrained === undefined) {
			return;
		}

		const busy = new Set([...this.inFlight.values()].map(order => order.shard));
		for (const [shard, done] of this.drainedShards) {
			if (!busy.has(shard)) {
				done();
			}
		}

		if (busy.size === 0) {
			this.onDrained?.();
		}
	}
}

/** Fails for an answer that is none to this order, or says that it was not run. */
function checkAnswer(order: Order, answer: Answer): void {
	const notRun = headerText(answer.headers, 'x-not-run');
	if (notRun !== '') {
		throw new RequestError(notRun === 'fenced' ? ErrorKind.TargetFenced : ErrorKind.TargetShed, notRun);
	}

	if (headerText(answer.headers, 'x-aborted') !== '') {
		throw new RequestError(ErrorKind.TargetTimeout, 'The target gave the work up.');
	}

	const echoed = headerText(answer.headers, 'x-order-id');
	if (echoed !== '' && echoed !== order.id) {
		throw new RequestError(ErrorKind.TruncatedAnswer, 'The target answered another order.');
	}
}

/** Whether an error proves that the request did not run. */
export function isNotRun(err: unknown): boolean {
	return err instanceof RequestError && err.answer.outcome === Outcome.NotRun;
}
