import {
	ErrorKind, isEligible, PoolKind, Repeat, RequestError, RetryBudget, RetryReason, RouteTable, findShard,
	type LoadReport, type Member, type PoolRule, type RouteMatch, type TargetRow,
} from '@bluebellyard/core';
import {Counter, type Counters} from '../metrics/index.js';
import type {Answer, Order} from '../work/index.js';
import {provesNotRun, type Forwarder} from './forwarder.js';
import {worstFailure} from './worst-failure.js';
import {ReferenceServiceTime} from './reference-service-time.js';
import {SharedPool} from './shared-pool.js';
import type {StewardExecutor} from './steward-executor.js';

/** Retry reason for each kind of failure that may be retried. */
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

/** Retry reasons after which no target has done work for the order, so that a retry adds no load; they need no budget. */
const unbudgetedReasons = new Set([RetryReason.StewardChanged, RetryReason.StewardUnreachable, RetryReason.TargetFenced]);

/** Maximum time for which an order is retried while its owner or steward changes, in milliseconds. */
const maxRetryTimeMs = 1000;

/** Delay before the first retry, in milliseconds; doubles with each retry up to the maximum. */
const firstRetryDelayMs = 5;
const maxRetryDelayMs = 50;

/** Dependencies of `RequestRouter`. */
export type RequestRouterOptions = {
	readonly member: () => Member;
	readonly stewardExecutor: Pick<StewardExecutor, 'handle' | 'load'>;
	readonly forwarder: Pick<Forwarder, 'forward'>;
	readonly counters: Counters;
	readonly now: () => number;
	readonly seed: number;
};

/** Target of the last attempt, which the next attempt avoids. */
type LastAttempt = {
	name: string | undefined;
};

/** Routes each order to its target by way of the target's steward, and retries attempts that are safe to repeat. */
export class RequestRouter {
	private routes: RouteTable | undefined;
	private routesOffset = -1;
	private readonly sharedPools = new Map<string, SharedPool>();
	private readonly budgets = new Map<string, RetryBudget>();
	private readonly references = new Map<string, ReferenceServiceTime>();
	private readonly options: RequestRouterOptions;

	constructor(options: RequestRouterOptions) {
		this.options = options;
	}

	/** Returns the route, pool and key for a request; undefined when no route matches. */
	match(method: string, path: string): RouteMatch | undefined {
		const {config} = this.options.member().tables;
		if (this.routes === undefined || this.routesOffset !== config.offset) {
			this.routes = new RouteTable(config.rules);
			this.routesOffset = config.offset;
		}

		return this.routes.match(method, path);
	}

	/** Returns the shard of a key, -1 in a shared pool; throws a `RequestError` when the pool has no shards yet. */
	findShard(pool: PoolRule, key: string | undefined): number {
		if (pool.kind === PoolKind.Shared) {
			return -1;
		}

		const row = this.options.member().tables.pools.get(pool.name);
		if (row === undefined || key === undefined) {
			throw new RequestError(ErrorKind.NoOwner);
		}

		return findShard(row, key);
	}

	/** Resolves to the complete answer to an order, retrying where it is safe; rejects with a `RequestError`. */
	async run(order: Order): Promise<Answer> {
		const {now, counters} = this.options;
		const budget = this.getBudget(order.pool);
		budget.deposit(now());
		const retryUntil = Math.min(order.deadline, now() + maxRetryTimeMs);
		let retryDelayMs = firstRetryDelayMs;
		const lastAttempt: LastAttempt = {name: undefined};
		const failures: unknown[] = [];
		for (;;) {
			try {
				// Attempts are made one after another.
				// eslint-disable-next-line no-await-in-loop
				return await (order.shard < 0 ? this.runShared(order, lastAttempt) : this.runKeyed(order));
			} catch (err) {
				failures.push(err);
				const reason = this.findRetryReason(order, err, retryUntil - retryDelayMs);
				if (reason === undefined) {
					throw worstFailure(failures);
				}

				counters.countRetry(reason);
			}

			// eslint-disable-next-line no-await-in-loop
			await sleep(retryDelayMs);
			retryDelayMs = Math.min(maxRetryDelayMs, retryDelayMs * 2);
		}
	}

	/** Returns the expected service time of a warm target of a pool, in milliseconds; undefined before any is known. */
	referenceMs(pool: string): number | undefined {
		return this.references.get(pool)?.medianMs();
	}

	/** Returns the target that owns a shard now. */
	findOwner(pool: string, shard: number): TargetRow | undefined {
		const {tables} = this.options.member();
		const owner = tables.pools.get(pool)?.shards[shard]?.owner ?? '';
		return tables.targets.get(owner);
	}

	private async runKeyed(order: Order): Promise<Answer> {
		// A hot key may have moved to another shard since the previous attempt.
		const row = this.options.member().tables.pools.get(order.pool);
		const shard = row === undefined ? order.shard : findShard(row, order.key);
		const target = this.findOwner(order.pool, shard);
		if (target === undefined) {
			throw new RequestError(ErrorKind.NoOwner);
		}

		return this.send(target, {...order, shard});
	}

	private async runShared(order: Order, lastAttempt: LastAttempt): Promise<Answer> {
		const targets = this.usableTargets(order.pool);
		return this.getSharedPool(order.pool).run(order, targets, lastAttempt.name, async (target, sent) => {
			lastAttempt.name = target.name;
			return this.send(target, sent);
		});
	}

	private usableTargets(pool: string): TargetRow[] {
		const {member, now} = this.options;
		const current = member();
		return [...current.tables.targets.values()]
			.filter(row => row.pool === pool && isEligible(current.tables, row) && !current.isSuspected(row.steward, now()));
	}

	/** Sends an order to the steward of its target, which may be this instance. */
	private async send(target: TargetRow, order: Order): Promise<Answer> {
		const {member, forwarder, counters} = this.options;
		if (target.steward === member().id) {
			return this.sendLocally(target, order);
		}

		const steward = member().tables.instances.get(target.steward);
		if (steward === undefined) {
			throw new RequestError(ErrorKind.NotSteward);
		}

		counters.count(Counter.Forwards);
		const {answer, load} = await forwarder.forward(steward.internalAddr, target.name, order);
		if (load !== undefined) {
			this.applyLoad(target, load);
		}

		return answer;
	}

	private async sendLocally(target: TargetRow, order: Order): Promise<Answer> {
		const {stewardExecutor} = this.options;
		const answer = await stewardExecutor.handle(target.name, order);
		const load = stewardExecutor.load(target.name);
		if (load !== undefined) {
			this.applyLoad(target, load);
		}

		return answer;
	}

	private applyLoad(target: TargetRow, load: LoadReport): void {
		this.sharedPools.get(target.pool)?.applyReport(target.name, load);
		const reference = this.references.get(target.pool) ?? new ReferenceServiceTime();
		reference.record(target.name, load.serviceMs);
		this.references.set(target.pool, reference);
	}

	private getSharedPool(name: string): SharedPool {
		const known = this.sharedPools.get(name);
		if (known !== undefined) {
			return known;
		}

		const {counters, now, seed} = this.options;
		const pool = new SharedPool({
			counters, now, seed: seed + this.sharedPools.size, budget: this.getBudget(name),
		});
		this.sharedPools.set(name, pool);
		return pool;
	}

	private getBudget(pool: string): RetryBudget {
		const known = this.budgets.get(pool);
		if (known !== undefined) {
			return known;
		}

		const budget = new RetryBudget();
		this.budgets.set(pool, budget);
		return budget;
	}

	/** Returns the reason for which the order may be retried now; undefined when it must not be. */
	private findRetryReason(order: Order, err: unknown, until: number): RetryReason | undefined {
		const kind = err instanceof RequestError ? err.kind : undefined;
		const reason = kind === undefined ? undefined : retryReasons[kind];
		const isSafe = provesNotRun(err) || order.repeat === Repeat.Idempotent;
		const now = this.options.now();
		if (reason === undefined || !isSafe || order.signal.aborted || now >= until) {
			return undefined;
		}

		return unbudgetedReasons.has(reason) || this.getBudget(order.pool).tryWithdraw(now) ? reason : undefined;
	}
}

async function sleep(ms: number): Promise<void> {
	return new Promise(resolve => {
		setTimeout(resolve, ms);
	});
}
