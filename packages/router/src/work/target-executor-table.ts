import {
	PoolKind, shardKey, type HotKey, type Member, type Permit, type PoolRule, type TargetRow,
} from '@bluebellyard/core';
import {TargetClient, type GrantReply} from './target-client.js';
import {TargetExecutor} from './target-executor.js';

/** One target with its connections and, for its steward, its work. */
type WorkRow = {
	readonly link: TargetClient;
	readonly work: TargetExecutor;
	readonly pool: PoolRule;
	readonly tenure: number;
};

const msPerSecond = 1000;

/** Hot keys of one target that are looked at. */
const maxHotKeys = 3;

/** What the table needs. */
export type TargetExecutorTableOptions = {
	readonly member: () => Member;
	readonly now: () => number;
	readonly connections: number;
};

/** The work on all targets of which this instance is the steward. */
export class TargetExecutorTable {
	private readonly rows = new Map<string, WorkRow>();
	private referenceMs: ((pool: string) => number | undefined) | undefined;
	private readonly links = new Map<string, TargetClient>();

	private readonly options: TargetExecutorTableOptions;

	constructor(options: TargetExecutorTableOptions) {
		this.options = options;
	}

	/** Connections to a target. */
	getClient(addr: string): TargetClient {
		const known = this.links.get(addr);
		if (known !== undefined) {
			return known;
		}

		const link = new TargetClient(addr, this.options.connections);
		this.links.set(addr, link);
		return link;
	}

	/** Work on a target; undefined when this instance is not its steward. */
	get(name: string): TargetExecutor | undefined {
		const member = this.options.member();
		const target = member.tables.targets.get(name);
		const pool = member.tables.config.rules.pools.get(target?.pool ?? '');
		if (target?.steward !== member.id || pool === undefined) {
			return undefined;
		}

		const row = this.rows.get(name);
		if (row?.link.addr === target.addr && row.tenure === target.tenure && row.pool === pool) {
			return row.work;
		}

		return this.open(target, pool, row).work;
	}

	/** Uses a source of the time that a warm target of a pool is expected to take. */
	setReference(referenceMs: (pool: string) => number | undefined): void {
		this.referenceMs = referenceMs;
	}

	/** Takes a target's answer to a grant sent at `askedAt`. */
	handleGrant(name: string, reply: GrantReply, askedAt: number): void {
		const work = this.get(name);
		const row = this.rows.get(name);
		if (work !== undefined && row !== undefined) {
			work.setReference(this.referenceMs?.(row.pool.name));
			work.handleGrant(reply.incarnation, reply.cold, askedAt);
		}
	}

	/** Names of the targets with work here, and their figures. */
	entries(): Array<readonly [string, TargetExecutor]> {
		return [...this.rows].map(([name, row]) => [name, row.work]);
	}

	/** Requests a second since `sinceMs` ago by `pool/shard`, and the hottest keys. */
	collectLoads(sinceMs: number): {readonly rates: Map<string, number>; readonly hotKeys: HotKey[]} {
		const perSecond = (count: number) => (count * msPerSecond) / sinceMs;
		const rates = new Map<string, number>();
		const hotKeys: HotKey[] = [];
		for (const {work, pool} of this.rows.values()) {
			const {shards, keys} = work.meter.readAndReset();
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

	/** Ends the work on targets of which this instance is no longer the steward. */
	prune(): void {
		const member = this.options.member();
		for (const [name, row] of this.rows) {
			if (member.tables.targets.get(name)?.steward !== member.id) {
				row.work.close();
				this.rows.delete(name);
			}
		}
	}

	/** Requests in flight or waiting. */
	get pendingCount(): number {
		let busy = 0;
		for (const {work} of this.rows.values()) {
			busy += work.admission.inFlight + work.admission.queued;
		}

		return busy;
	}

	/** Closes all connections. */
	async close(): Promise<void> {
		for (const row of this.rows.values()) {
			row.work.close();
		}

		await Promise.all([...this.links.values()].map(async link => link.close()));
	}

	private open(target: TargetRow, pool: PoolRule, former: WorkRow | undefined): WorkRow {
		const {now, member} = this.options;
		if (former?.tenure === target.tenure && former.link.addr === target.addr) {
			former.work.setSlots(pool.slots);
			const kept = {...former, pool};
			this.rows.set(target.name, kept);
			return kept;
		}

		former?.work.close();
		const link = this.getClient(target.addr);
		const work = new TargetExecutor({
			target: target.name,
			client: link,
			slots: pool.slots,
			queue: pool.queue,
			isKeyed: pool.kind === PoolKind.Keyed,
			isFenced: pool.fenced,
			now,
			requestPermit: (order): Permit | undefined => member().permit(target.name, order.shard, now()),
			maySendUnkeyed: () => member().maySendUnkeyed(target.name),
		});
		const row = {
			link, work, pool, tenure: target.tenure,
		};
		this.rows.set(target.name, row);
		return row;
	}
}
