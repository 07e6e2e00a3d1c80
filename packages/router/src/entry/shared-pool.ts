import {
	ErrorKind, HedgePolicy, LoadTable, PowerOfTwo, Repeat, RequestError, type RetryBudget, RetryReason, Availability, StragglerDetector,
	type Candidate, type LoadReport, type TargetRow,
} from '@bluebellyard/core';
import {xoroshiro128plus} from 'pure-rand/generator/xoroshiro128plus';
import type {Counters} from '../metrics/index.js';
import type {Answer, Order} from '../work/index.js';
import {worstFailure} from './worst-failure.js';

/** Interval between two evaluations of the targets by the straggler detector, in milliseconds. */
const evaluationIntervalMs = 20;

/** Sends an order to one target through its steward. */
export type SendOrder = (target: TargetRow, order: Order) => Promise<Answer>;

/** Dependencies of `SharedPool`. */
export type SharedPoolOptions = {
	readonly counters: Counters;
	readonly now: () => number;
	readonly seed: number;
	/** Pays for retries and hedges of this pool. */
	readonly budget: RetryBudget;
};

/** Number of targets that are tried without queueing before the order queues at another one. */
const maxUnqueuedTries = 2;

/** State of an attempt that another attempt may overtake. */
type AttemptState = {
	/** Whether another attempt was answered first. */
	isOvertaken: boolean;
};

/** An order that may be hedged. */
type HedgeableAttempt = {
	readonly order: Order;
	readonly first: TargetRow;
	readonly sentAt: number;
	/** Monotonic time at which the hedge is due, in milliseconds. */
	readonly due: number;
};

/** Selects among the targets of one shared pool, and hedges late idempotent orders. */
export class SharedPool {
	private readonly loads = new LoadTable();
	private readonly detector = new StragglerDetector();
	private readonly hedge: HedgePolicy;
	private readonly selector: PowerOfTwo;
	private readonly knownTargets = new Set<string>();
	private evaluatedAt = -Infinity;

	constructor(private readonly options: SharedPoolOptions) {
		this.hedge = new HedgePolicy(options.budget);
		this.selector = new PowerOfTwo(xoroshiro128plus(options.seed));
	}

	/** Applies the load of a target that its steward reported with an answer. */
	applyReport(target: string, load: LoadReport): void {
		this.loads.applyReport(target, load, this.options.now());
		this.detector.recordServiceTime(target, load.serviceMs);
	}

	/** Resolves to the answer of one of `targets`; `tried` names one to avoid. */
	async run(order: Order, targets: readonly TargetRow[], tried: string | undefined, send: SendOrder): Promise<Answer> {
		this.updateTargets(targets);
		const probe = this.sendProbe(order, targets, send);
		try {
			return await this.tryTargets(order, targets, tried, send);
		} catch (err) {
			if (probe === undefined) {
				throw err;
			}

			// The probe may still be answered, or may have run, so its outcome counts for what the caller gets.
			return firstAnswer([rejectWith(err), probe]);
		}
	}

	/** Tries some targets without queueing, then queues at another one. */
	private async tryTargets(order: Order, targets: readonly TargetRow[], tried: string | undefined, send: SendOrder): Promise<Answer> {
		let except = tried;
		for (let tries = 0; ; tries += 1) {
			const target = this.selectTarget(targets, except);
			if (target === undefined) {
				throw new RequestError(ErrorKind.NoTarget);
			}

			except = target.name;
			try {
				// The next target is tried only after the previous one had no free slot.
				// eslint-disable-next-line no-await-in-loop
				return await this.attempt({...order, id: attemptId(order, tries), mayWait: tries >= maxUnqueuedTries}, target, targets, send);
			} catch (err) {
				const hadNoFreeSlot = err instanceof RequestError && err.kind === ErrorKind.QueueFull;
				if (!hadNoFreeSlot || tries >= maxUnqueuedTries) {
					throw err;
				}
			}
		}
	}

	private async attempt(order: Order, first: TargetRow, targets: readonly TargetRow[], send: SendOrder): Promise<Answer> {
		const sentAt = this.options.now();
		const due = this.hedge.dueAt({repeat: order.repeat, sentAt, deadline: order.deadline});
		if (due === undefined) {
			return this.track(first, order, send, {isOvertaken: false});
		}

		return this.raceWithHedge({
			order, first, sentAt, due,
		}, targets, send);
	}

	/** Sends a copy of an idempotent order to a target that is set aside, to find out whether it has recovered. */
	private sendProbe(order: Order, targets: readonly TargetRow[], send: SendOrder): Promise<Answer> | undefined {
		const now = this.options.now();
		const name = order.repeat === Repeat.Idempotent ? this.detector.claimProbe(now) : undefined;
		const target = targets.find(row => row.name === name);
		if (target === undefined || !this.options.budget.tryWithdraw(now)) {
			return undefined;
		}

		this.options.counters.countRetry(RetryReason.Hedge);
		const copy = {
			...order, id: `${order.id}-probe`, mayWait: false, signal: new AbortController().signal,
		};
		const probe = this.track(target, copy, send, {isOvertaken: false});
		// The probe is usually not awaited; `track` records its time in any case.
		probe.catch(() => undefined);
		return probe;
	}

	/** Starts a hedge beside the first attempt when that is late; the first answer wins and aborts the other attempt. */
	private async raceWithHedge({order, first, sentAt, due}: HedgeableAttempt, targets: readonly TargetRow[], send: SendOrder): Promise<Answer> {
		const abort = new AbortController();
		const abortable = {...order, signal: AbortSignal.any([order.signal, abort.signal])};
		const state: AttemptState = {isOvertaken: false};
		const attempts = [this.track(first, abortable, send, state)];
		let timer: NodeJS.Timeout | undefined;
		const hedgeDecided = new Promise<void>(resolve => {
			timer = setTimeout(() => {
				const other = this.selectHedgeTarget(order, sentAt, first, targets);
				if (other !== undefined) {
					this.options.counters.countRetry(RetryReason.Hedge);
					attempts.push(this.sendHedge(other, {...abortable, id: `${order.id}-hedge`, mayWait: false}, send, state));
				}

				resolve();
			}, Math.max(0, due - sentAt));
		});
		try {
			return await Promise.race([attempts[0], hedgeDecided.then(async () => firstAnswer(attempts))]);
		} catch (err) {
			return await (attempts.length > 1 ? firstAnswer(attempts) : rejectWith(err));
		} finally {
			clearTimeout(timer);
			abort.abort();
		}
	}

	/** Sends the hedge of an order; when it is answered, marks the first attempt as overtaken. */
	private async sendHedge(target: TargetRow, order: Order, send: SendOrder, first: AttemptState): Promise<Answer> {
		const answer = await this.track(target, order, send, {isOvertaken: false});
		first.isOvertaken = true;
		return answer;
	}

	private selectHedgeTarget(order: Order, sentAt: number, first: TargetRow, targets: readonly TargetRow[]): TargetRow | undefined {
		const {now} = this.options;
		const other = this.selectTarget(targets, first.name);
		const isOther = other !== undefined && other.name !== first.name;
		const isAllowed = isOther && this.hedge.allow({repeat: order.repeat, sentAt, deadline: order.deadline}, now());
		return isAllowed ? other : undefined;
	}

	private async track(target: TargetRow, order: Order, send: SendOrder, state: AttemptState): Promise<Answer> {
		const {now} = this.options;
		const startedAt = now();
		this.loads.begin(target.name);
		this.detector.recordStart(target.name, order.id, startedAt);
		try {
			const answer = await send(target, order);
			this.detector.recordAnswer(target.name, order.id, now());
			this.hedge.recordLatency(now() - startedAt);
			return answer;
		} catch (err) {
			if (state.isOvertaken) {
				this.detector.recordOvertaken(target.name, order.id, now());
			} else {
				this.detector.recordCancelled(target.name, order.id, now());
			}

			throw err;
		} finally {
			this.loads.end(target.name);
		}
	}

	private selectTarget(targets: readonly TargetRow[], except: string | undefined): TargetRow | undefined {
		const now = this.options.now();
		const candidates = targets.map((target): Candidate => {
			const report = this.loads.lastReport(target.name);
			return {
				name: target.name,
				availability: this.detector.isSetAside(target.name) ? Availability.SetAside : Availability.Available,
				load: this.loads.load(target.name, now),
				limit: report?.limit ?? 1,
				serviceMs: report?.serviceMs,
			};
		});
		const chosen = this.selector.select(candidates, except);
		return targets.find(target => target.name === chosen?.name);
	}

	/** Updates the detector's set of targets and evaluates them, at most once per interval. */
	private updateTargets(targets: readonly TargetRow[]): void {
		const now = this.options.now();
		if (now - this.evaluatedAt < evaluationIntervalMs) {
			return;
		}

		this.evaluatedAt = now;
		const names = new Set(targets.map(target => target.name));
		for (const name of names) {
			if (!this.knownTargets.has(name)) {
				this.knownTargets.add(name);
				this.detector.add(name);
			}
		}

		for (const name of this.knownTargets) {
			if (!names.has(name)) {
				this.knownTargets.delete(name);
				this.detector.remove(name);
				this.loads.remove(name);
			}
		}

		this.detector.tick(now);
	}
}

/** Returns the id of one attempt; the admission of a target must not see the same id twice. */
function attemptId(order: Order, tries: number): string {
	return tries === 0 ? order.id : `${order.id}-${tries}`;
}

/** Resolves to the first answer of several attempts; when all fail, rejects with the failure that the caller must get. */
async function firstAnswer(attempts: ReadonlyArray<Promise<Answer>>): Promise<Answer> {
	try {
		return await Promise.any(attempts);
	} catch (err) {
		throw err instanceof AggregateError ? worstFailure(err.errors) : err;
	}
}

/** Returns an attempt that is rejected with `err`. */
async function rejectWith(err: unknown): Promise<Answer> {
	throw err;
}
