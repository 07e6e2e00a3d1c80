import {
	ErrorKind, isEligible, PoolKind, Repeat, RequestError, RetryBudget, RetryReason, RouteTable, shardOf,
	type LoadReport, type Member, type PoolRule, type RouteMatch, type TargetRow,
} from '@bluebellyard/core';
import {Counter, type Counters} from '../metrics/index.js';
import type {Answer, Order} from '../work/index.js';
import {provesNotRun, type Forwarder} from './forwarder.js';
import {worstFailure} from './worst-failure.js';
import {ReferenceServiceTime} from './reference-service-time.js';
import {SharedPool} from './shared-pool.js';
import type {StewardQueue} from './steward-queue.js';

/** Why an attempt may be repeated, by the kind of its failure. */
const retryReasons: Readonly<Partial<Record<ErrorKind, RetryReason>>> = {
	[ErrorKind.NotSteward]: RetryReason.StewardChanged,
	[ErrorKind.NotEntitled]: RetryReason.StewardChanged,
	[ErrorKind.NoOwner]: RetryReason.StewardChanged,
	[ErrorKind.StewardUnreachable]: RetryReason.StewardUnreachable,
	[ErrorKind.TargetFenced]: RetryReason.TargetFenced,
	[ErrorKind.TargetShed]: RetryReason.TargetShed,
	[ErrorKind.ConnectFailed]: RetryReason.ConnectFailed,
	[ErrorKind.ConnectionLost]: RetryReason.ConnectionLost,
	[ErrorKind.TruncatedAnswer]: RetryReason.TruncatedAnswer,
};

/** Reasons that send no work to a target once more; they need no budget. */
const changeReasons = new Set([RetryReason.StewardChanged, RetryReason.StewardUnreachable, RetryReason.TargetFenced]);

/** Longest time that an order waits for a change of owner or steward to end, in milliseconds. */
const changeWaitMs = 1000;

/** Wait before the first repeated attempt, in milliseconds; grows with each. */
const firstWaitMs = 5;
const maxWaitMs = 50;

/** What the router works with. */
export type RequestRouterOptions = {
	readonly member: () => Member;
	readonly stewardQueue: Pick<StewardQueue, 'handle' | 'load'>;
	readonly forwarder: Pick<Forwarder, 'forward'>;
	readonly counters: Counters;
	readonly now: () => number;
	readonly seed: number;
};

/** Target of the last attempt; the next one avoids it. */
type Tried = {
	name: string | undefined;
};

/** Finds the place of each order and repeats attempts that surely did not run. */
export class RequestRouter {
	private routes: RouteTable | undefined;
	private routesOf = -1;
	private readonly shared = new Map<string, SharedPool>();
	private readonly budgets = new Map<string, RetryBudget>();
	private readonly references = new Map<string, ReferenceServiceTime>();
	private readonly options: RequestRouterOptions;

	constructor(options: RequestRouterOptions) {
		this.options = options;
	}

	/** The rule and key for a request. */
	match(method: string, path: string): RouteMatch | undefined {
		const {config} = this.options.member().tables;
		if (this.routes === undefined || this.routesOf !== config.offset) {
			this.routes = new RouteTable(config.rules);
			this.routesOf = config.offset;
		}

		return this.routes.match(method, path);
	}

	/** Shard of a key; -1 in a shared pool. */
	findShard(pool: PoolRule, key: string | undefined): number {
		if (pool.kind === PoolKind.Shared) {
			return -1;
		}

		const row = this.options.member().tables.pools.get(pool.name);
		if (row === undefined || key === undefined) {
			throw new RequestError(ErrorKind.NoOwner);
		}

		return shardOf(row, key);
	}

	/** Gets the whole answer to an order; fails with a `RequestError`. */
	async run(order: Order): Promise<Answer> {
		const {now, counters} = this.options;
		const budget = this.budgetOf(order.pool);
		budget.deposit(now());
		const waitUntil = Math.min(order.deadline, now() + changeWaitMs);
		let waitMs = firstWaitMs;
		const tried: Tried = {name: undefined};
		const failures: unknown[] = [];
		for (;;) {
			try {
				// The attempts follow one another.
				// eslint-disable-next-line no-await-in-loop
				return await (order.shard < 0 ? this.runShared(order, tried) : this.runKeyed(order));
			} catch (err) {
				failures.push(err);
				const reason = this.mayRepeat(order, err, waitUntil - waitMs);
				if (reason === undefined) {
					throw worstFailure(failures);
				}

				counters.countRetry(reason);
			}

			// eslint-disable-next-line no-await-in-loop
			await delay(waitMs);
			waitMs = Math.min(maxWaitMs, waitMs * 2);
		}
	}

	/** Time in milliseconds that a warm target of a pool is expected to take. */
	referenceMs(pool: string): number | undefined {
		return this.references.get(pool)?.medianMs();
	}

	/** Where a key goes now. */
	findOwner(pool: string, shard: number): TargetRow | undefined {
		const {tables} = this.options.member();
		const owner = tables.pools.get(pool)?.shards[shard]?.owner ?? '';
		return tables.targets.get(owner);
	}

	private async runKeyed(order: Order): Promise<Answer> {
		// A hot key may have changed its shard since the attempt before.
		const row = this.options.member().tables.pools.get(order.pool);
		const shard = row === undefined ? order.shard : shardOf(row, order.key);
		const target = this.findOwner(order.pool, shard);
		if (target === undefined) {
			throw new RequestError(ErrorKind.NoOwner);
		}

		return this.send(target, {...order, shard});
	}

	private async runShared(order: Order, tried: Tried): Promise<Answer> {
		const targets = this.usableTargets(order.pool);
		return this.sharedPool(order.pool).run(order, targets, tried.name, async (target, sent) => {
			tried.name = target.name;
			return this.send(target, sent);
		});
	}

	private usableTargets(pool: string): TargetRow[] {
		const {member, now} = this.options;
		const current = member();
		return [...current.tables.targets.values()]
			.filter(row => row.pool === pool && isEligible(current.tables, row) && !current.isSuspected(row.steward, now()));
	}

	/** Sends an order by way of the steward of its target. */
	private async send(target: TargetRow, order: Order): Promise<Answer> {
		const {member, forwarder, counters} = this.options;
		if (target.steward === member().id) {
			return this.sendHere(target, order);
		}

		const steward = member().tables.instances.get(target.steward);
		if (steward === undefined) {
			throw new RequestError(ErrorKind.NotSteward);
		}

		counters.count(Counter.Forwards);
		const {answer, load} = await forwarder.forward(steward.internalAddr, target.name, order);
		if (load !== undefined) {
			this.takeLoad(target, load);
		}

		return answer;
	}

	private async sendHere(target: TargetRow, order: Order): Promise<Answer> {
		const {stewardQueue: desk} = this.options;
		const answer = await desk.handle(target.name, order);
		const load = desk.load(target.name);
		if (load !== undefined) {
			this.takeLoad(target, load);
		}

		return answer;
	}

	private takeLoad(target: TargetRow, load: LoadReport): void {
		this.shared.get(target.pool)?.applyReport(target.name, load);
		const reference = this.references.get(target.pool) ?? new ReferenceServiceTime();
		reference.record(target.name, load.serviceMs);
		this.references.set(target.pool, reference);
	}

	private sharedPool(name: string): SharedPool {
		const known = this.shared.get(name);
		if (known !== undefined) {
			return known;
		}

		const {counters, now, seed} = this.options;
		const pool = new SharedPool({
			counters, now, seed: seed + this.shared.size, budget: this.budgetOf(name),
		});
		this.shared.set(name, pool);
		return pool;
	}

	private budgetOf(pool: string): RetryBudget {
		const known = this.budgets.get(pool);
		if (known !== undefined) {
			return known;
		}

		const budget = new RetryBudget();
		this.budgets.set(pool, budget);
		return budget;
	}

	private mayRepeat(order: Order, err: unknown, until: number): RetryReason | undefined {
		const kind = err instanceof RequestError ? err.kind : undefined;
		const reason = kind === undefined ? undefined : retryReasons[kind];
		const isSafe = provesNotRun(err) || order.repeat === Repeat.Idempotent;
		const now = this.options.now();
		if (reason === undefined || !isSafe || order.signal.aborted || now >= until) {
			return undefined;
		}

		return changeReasons.has(reason) || this.budgetOf(order.pool).tryWithdraw(now) ? reason : undefined;
	}
}

async function delay(ms: number): Promise<void> {
	return new Promise(resolve => {
		setTimeout(resolve, ms);
	});
}
