import {
	PoolKind, shardKey, type HotKey, type Member, type Permit, type PoolRule, type TargetRow,
} from '@bluebellyard/core';
import {TargetClient, type GrantReply} from './target-client.js';
import {TargetExecutor} from './target-executor.js';

/** Executor of one target with the client, pool settings and tenure that it was created for. */
type ExecutorRow = {
	readonly client: TargetClient;
	readonly executor: TargetExecutor;
	readonly pool: PoolRule;
	readonly tenure: number;
};

const msPerSecond = 1000;

/** Maximum number of hot keys that are reported for one target. */
const maxHotKeys = 3;

/** Dependencies of `TargetExecutorTable`. */
export type TargetExecutorTableOptions = {
	readonly member: () => Member;
	readonly now: () => number;
	readonly connections: number;
};

/** Executors of all targets of which this instance is the steward, and the clients of targets. */
export class TargetExecutorTable {
	private readonly rows = new Map<string, ExecutorRow>();
	private referenceMs: ((pool: string) => number | undefined) | undefined;
	private readonly clients = new Map<string, TargetClient>();

	private readonly options: TargetExecutorTableOptions;

	constructor(options: TargetExecutorTableOptions) {
		this.options = options;
	}

	/** Returns the client for the target at `addr`; creates it at the first call. */
	getClient(addr: string): TargetClient {
		const known = this.clients.get(addr);
		if (known !== undefined) {
			return known;
		}

		const client = new TargetClient(addr, this.options.connections);
		this.clients.set(addr, client);
		return client;
	}

	/** Returns the executor of a target; undefined when this instance is not its steward. Creates a new one when the address or the tenure of the target changed. */
	get(name: string): TargetExecutor | undefined {
		const member = this.options.member();
		const target = member.tables.targets.get(name);
		const pool = member.tables.config.rules.pools.get(target?.pool ?? '');
		if (target?.steward !== member.id || pool === undefined) {
			return undefined;
		}

		const row = this.rows.get(name);
		if (row?.client.addr === target.addr && row.tenure === target.tenure && row.pool === pool) {
			return row.executor;
		}

		return this.open(target, pool, row).executor;
	}

	/** Sets the function that returns the expected service time of a warm target of a pool, in milliseconds. */
	setReference(referenceMs: (pool: string) => number | undefined): void {
		this.referenceMs = referenceMs;
	}

	/** Handles a target's answer to a grant that was sent at monotonic time `sentAt`. */
	handleGrant(name: string, reply: GrantReply, sentAt: number): void {
		const executor = this.get(name);
		const row = this.rows.get(name);
		if (executor !== undefined && row !== undefined) {
			executor.setReference(this.referenceMs?.(row.pool.name));
			executor.handleGrant(reply.incarnation, reply.cold, sentAt);
		}
	}

	/** Returns the executors with the names of their targets. */
	entries(): Array<readonly [string, TargetExecutor]> {
		return [...this.rows].map(([name, row]) => [name, row.executor]);
	}

	/** Returns the requests per second by `pool/shard` and the hottest keys, and resets the counts; `sinceMs` is the time since the previous call in milliseconds. */
	collectLoads(sinceMs: number): {readonly rates: Map<string, number>; readonly hotKeys: HotKey[]} {
		const perSecond = (count: number) => (count * msPerSecond) / sinceMs;
		const rates = new Map<string, number>();
		const hotKeys: HotKey[] = [];
		for (const {executor, pool} of this.rows.values()) {
			const {shards, keys} = executor.meter.readAndReset();
			for (const [shard, count] of shards) {
				rates.set(shardKey(pool.name, shard), perSecond(count));
			}

			const hottest = [...keys].toSorted((a, b) => b[1] - a[1]).slice(0, maxHotKeys);
			for (const [key, count] of hottest) {
				hotKeys.push({pool: pool.name, key, rate: perSecond(count)});
			}
		}

		return {rates, hotKeys};
	}

	/** Closes the executors of targets of which this instance is no longer the steward. */
	prune(): void {
		const member = this.options.member();
		for (const [name, row] of this.rows) {
			if (member.tables.targets.get(name)?.steward !== member.id) {
				row.executor.close();
				this.rows.delete(name);
			}
		}
	}

	/** Number of requests in flight or queued. */
	get pendingCount(): number {
		let count = 0;
		for (const {executor} of this.rows.values()) {
			count += executor.admission.inFlight + executor.admission.queued;
		}

		return count;
	}

	/** Closes all executors and all connections. */
	async close(): Promise<void> {
		for (const row of this.rows.values()) {
			row.executor.close();
		}

		await Promise.all([...this.clients.values()].map(async client => client.close()));
	}

	private open(target: TargetRow, pool: PoolRule, previous: ExecutorRow | undefined): ExecutorRow {
		const {now, member} = this.options;
		if (previous?.tenure === target.tenure && previous.client.addr === target.addr) {
			previous.executor.setSlots(pool.slots);
			const updated = {...previous, pool};
			this.rows.set(target.name, updated);
			return updated;
		}

		previous?.executor.close();
		const client = this.getClient(target.addr);
		const executor = new TargetExecutor({
			target: target.name,
			client,
			slots: pool.slots,
			queue: pool.queue,
			isKeyed: pool.kind === PoolKind.Keyed,
			isFenced: pool.fenced,
			now,
			requestPermit: (order): Permit | undefined => member().permit(target.name, order.shard, now()),
			maySendUnkeyed: () => member().maySendUnkeyed(target.name),
		});
		const row = {
			client, executor, pool, tenure: target.tenure,
		};
		this.rows.set(target.name, row);
		return row;
	}
}
