import {
	ErrorKind, HedgePolicy, LoadTable, PowerOfTwo, Repeat, RequestError, type RetryBudget, RetryReason, Availability, StragglerDetector,
	type Candidate, type LoadReport, type TargetRow,
} from '@bluebellyard/core';
import {xoroshiro128plus} from 'pure-rand/generator/xoroshiro128plus';
import type {Counters} from '../metrics/index.js';
import type {Answer, Order} from '../work/index.js';
import {worstFailure} from './worst-failure.js';

/** Between two judgements of the targets, in milliseconds. */
const judgeMs = 20;

/** Sends an order to one target by way of its steward. */
export type SendOrder = (target: TargetRow, order: Order) => Promise<Answer>;

/** What a shared pool works with. */
export type SharedPoolOptions = {
	readonly counters: Counters;
	readonly now: () => number;
	readonly seed: number;
	/** Pays for retries and hedges of this pool. */
	readonly budget: RetryBudget;
};

/** Targets that are asked for a free slot at once, before the order waits at one more. */
const quickTries = 2;

/** What became of an attempt that was cancelled. */
type Fate = {
	/** Another attempt was answered first. */
	isOutrun: boolean;
};

/** An order that may be sent a second time. */
type Race = {
	readonly order: Order;
	readonly first: TargetRow;
	readonly sentAt: number;
	/** When the second attempt is due. */
	readonly due: number;
};

/** Chooses among the targets of one shared pool, and sends late idempotent orders a second time. */
export class SharedPool {
	private readonly loads = new LoadTable();
	private readonly detector = new StragglerDetector();
	private readonly hedge: HedgePolicy;
	private readonly chooser: PowerOfTwo;
	private readonly known = new Set<string>();
	private judgedAt = -Infinity;

	constructor(private readonly options: SharedPoolOptions) {
		this.hedge = new HedgePolicy(options.budget);
		this.chooser = new PowerOfTwo(xoroshiro128plus(options.seed));
	}

	/** Takes the load of a target from an answer that came by its steward. */
	applyReport(target: string, load: LoadReport): void {
		this.loads.applyReport(target, load, this.options.now());
		this.detector.recordServiceTime(target, load.serviceMs);
	}

	/** Gets the answer of one of `targets`; `tried` names one to avoid. */
	async run(order: Order, targets: readonly TargetRow[], tried: string | undefined, send: SendOrder): Promise<Answer> {
		this.follow(targets);
		const probe = this.sendProbe(order, targets, send);
		try {
			return await this.runTries(order, targets, tried, send);
		} catch (err) {
			if (probe === undefined) {
				throw err;
			}

			// The copy may have run, so its end decides what the caller is told.
			return firstAnswer([failed(err), probe]);
		}
	}

	/** Asks some targets for a free slot at once, then waits at one more. */
	private async runTries(order: Order, targets: readonly TargetRow[], tried: string | undefined, send: SendOrder): Promise<Answer> {
		let except = tried;
		for (let tries = 0; ; tries += 1) {
			const target = this.pick(targets, except);
			if (target === undefined) {
				throw new RequestError(ErrorKind.NoTarget);
			}

			except = target.name;
			try {
				// Each target is asked after the one before had no room.
				// eslint-disable-next-line no-await-in-loop
				return await this.attempt({...order, id: attemptId(order, tries), mayWait: tries >= quickTries}, target, targets, send);
			} catch (err) {
				const hadNoRoom = err instanceof RequestError && err.kind === ErrorKind.QueueFull;
				if (!hadNoRoom || tries >= quickTries) {
					throw err;
				}
			}
		}
	}

	private async attempt(order: Order, first: TargetRow, targets: readonly TargetRow[], send: SendOrder): Promise<Answer> {
		const sentAt = this.options.now();
		const due = this.hedge.dueAt({repeat: order.repeat, sentAt, deadline: order.deadline});
		if (due === undefined) {
			return this.track(first, order, send, {isOutrun: false});
		}

		return this.race({
			order, first, sentAt, due,
		}, targets, send);
	}

	/** Sends a copy of an idempotent order to a target that is set aside, to see whether it recovered. */
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
		const probe = this.track(target, copy, send, {isOutrun: false});
		// Mostly nobody waits for it; its time is noted all the same.
		probe.catch(() => undefined);
		return probe;
	}

	/** Runs a second attempt beside the first when that is late; the first answer wins and ends the other. */
	private async race({order, first, sentAt, due}: Race, targets: readonly TargetRow[], send: SendOrder): Promise<Answer> {
		const abort = new AbortController();
		const racing = {...order, signal: AbortSignal.any([order.signal, abort.signal])};
		const fate: Fate = {isOutrun: false};
		const attempts = [this.track(first, racing, send, fate)];
		let timer: NodeJS.Timeout | undefined;
		const hedged = new Promise<void>(resolve => {
			timer = setTimeout(() => {
				const other = this.hedgeTarget(order, sentAt, first, targets);
				if (other !== undefined) {
					this.options.counters.countRetry(RetryReason.Hedge);
					attempts.push(this.outrun(other, {...racing, id: `${order.id}-hedge`, mayWait: false}, send, fate));
				}

				resolve();
			}, Math.max(0, due - sentAt));
		});
		try {
			return await Promise.race([attempts[0], hedged.then(async () => firstAnswer(attempts))]);
		} catch (err) {
			return await (attempts.length > 1 ? firstAnswer(attempts) : failed(err));
		} finally {
			clearTimeout(timer);
			abort.abort();
		}
	}

	/** Sends an order a second time; when it is answered, the first sending is marked as outrun. */
	private async outrun(target: TargetRow, order: Order, send: SendOrder, first: Fate): Promise<Answer> {
		const answer = await this.track(target, order, send, {isOutrun: false});
		first.isOutrun = true;
		return answer;
	}

	private hedgeTarget(order: Order, sentAt: number, first: TargetRow, targets: readonly TargetRow[]): TargetRow | undefined {
		const {now} = this.options;
		const other = this.pick(targets, first.name);
		const isOther = other !== undefined && other.name !== first.name;
		const isAllowed = isOther && this.hedge.allow({repeat: order.repeat, sentAt, deadline: order.deadline}, now());
		return isAllowed ? other : undefined;
	}

	private async track(target: TargetRow, order: Order, send: SendOrder, fate: Fate): Promise<Answer> {
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
			if (fate.isOutrun) {
				this.detector.recordOvertaken(target.name, order.id, now());
			} else {
				this.detector.recordCancelled(target.name, order.id, now());
			}

			throw err;
		} finally {
			this.loads.end(target.name);
		}
	}

	private pick(targets: readonly TargetRow[], except: string | undefined): TargetRow | undefined {
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
		const chosen = this.chooser.select(candidates, except);
		return targets.find(target => target.name === chosen?.name);
	}

	/** Keeps the detector's targets in step, and judges them from time to time. */
	private follow(targets: readonly TargetRow[]): void {
		const now = this.options.now();
		if (now - this.judgedAt < judgeMs) {
			return;
		}

		this.judgedAt = now;
		const names = new Set(targets.map(target => target.name));
		for (const name of names) {
			if (!this.known.has(name)) {
				this.known.add(name);
				this.detector.add(name);
			}
		}

		for (const name of this.known) {
			if (!names.has(name)) {
				this.known.delete(name);
				this.detector.remove(name);
				this.loads.remove(name);
			}
		}

		this.detector.tick(now);
	}
}

/** Id of one attempt; the gate of a target must not see the same twice. */
function attemptId(order: Order, tries: number): string {
	return tries === 0 ? order.id : `${order.id}-${tries}`;
}

/** The first answer of several attempts; after failures only, the one that the caller must be told. */
async function firstAnswer(attempts: ReadonlyArray<Promise<Answer>>): Promise<Answer> {
	try {
		return await Promise.any(attempts);
	} catch (err) {
		throw err instanceof AggregateError ? worstFailure(err.errors) : err;
	}
}

/** An attempt that ended in a failure. */
async function failed(err: unknown): Promise<Answer> {
	throw err;
}
