import {RecordKind} from '../records/index.js';
import {findShard, type PoolRow, type TargetRow} from '../state/index.js';
import {propose, type Context} from './context.js';
import {shardKey, type HotKey} from './local-tables.js';
import {isCooled} from './placement-plan.js';

/** Weight of a new measurement in the moving average of a load. */
const measurementWeight = 0.5;

/** Relative change of the load of a shard above which it is recorded. */
const minRelativeChange = 0.3;

/** Change in requests per second above which the load of a shard is recorded. */
const minChangeRate = 2;

/** Requests per second from which a key may count as hot. */
const minHotRate = 5;

/** Load of a key as a share of the mean load of a target from which it gets its own shard. */
const minHotShare = 0.25;

/** Adds the rates measured since the last call to the moving averages. */
export function applyLoads(ctx: Context, rates: ReadonlyMap<string, number>, hotKeys: readonly HotKey[]): void {
	const {measuredRates: measured} = ctx.local;
	for (const [key, previous] of measured) {
		const rate = rates.get(key) ?? 0;
		measured.set(key, previous + ((rate - previous) * measurementWeight));
	}

	for (const [key, rate] of rates) {
		if (!measured.has(key)) {
			measured.set(key, rate);
		}
	}

	ctx.local.hotKeys = hotKeys;
	ctx.local.hasNewLoads = true;
}

/** Proposes records of changed loads, isolates hot keys in their own shards and merges cooled ones back. */
export function runLoads(ctx: Context): void {
	if (!ctx.local.hasNewLoads || ctx.local.pending.has('loads')) {
		return;
	}

	ctx.local.hasNewLoads = false;
	const own = [...ctx.tables.targets.values()].filter(target => target.steward === ctx.self.id);
	recordLoads(ctx, own);
	isolateHot(ctx);
	mergeCooled(ctx, own);
}

function recordLoads(ctx: Context, own: readonly TargetRow[]): void {
	const pools = [...new Set(own.map(target => target.pool))]
		.map(pool => ({pool, loads: changedLoads(ctx, pool)}))
		.filter(({loads}) => loads.length > 0);
	if (pools.length > 0) {
		propose(ctx, 'loads', {kind: RecordKind.Loads, pools});
	}
}

function changedLoads(ctx: Context, pool: string): Array<[number, number]> {
	const changed: Array<[number, number]> = [];
	for (const [shard, row] of ctx.tables.pools.get(pool)?.shards.entries() ?? []) {
		const rate = ctx.local.measuredRates.get(shardKey(pool, shard));
		const isOwn = ctx.tables.targets.get(row.owner)?.steward === ctx.self.id;
		if (!isOwn) {
			ctx.local.measuredRates.delete(shardKey(pool, shard));
		} else if (rate !== undefined && isSignificantChange(row.load, rate)) {
			changed.push([shard, Math.round(rate)]);
		}
	}

	return changed;
}

function isSignificantChange(known: number, rate: number): boolean {
	const change = Math.abs(rate - known);
	return change > minChangeRate && change > minRelativeChange * known;
}

function isolateHot(ctx: Context): void {
	for (const {pool, key, rate} of ctx.local.hotKeys) {
		const row = ctx.tables.pools.get(pool);
		const isHot = row !== undefined && rate >= minHotRate && rate >= minHotShare * meanTargetLoad(ctx, row);
		if (isHot && !row.hot.has(key)) {
			const {fence} = row.shards[findShard(row, key)];
			propose(ctx, `isolate:${pool}/${key}`, {
				kind: RecordKind.Isolate, pool, key, prev: fence,
			});
		}
	}
}

function meanTargetLoad(ctx: Context, pool: PoolRow): number {
	const targets = [...ctx.tables.targets.values()].filter(target => target.pool === pool.name).length;
	let total = 0;
	for (const shard of pool.shards) {
		total += shard.load;
	}

	return total / Math.max(1, targets);
}

function mergeCooled(ctx: Context, own: readonly TargetRow[]): void {
	const names = new Set(own.map(target => target.name));
	for (const pool of ctx.tables.pools.values()) {
		for (const [key, shard] of pool.hot) {
			const row = pool.shards[shard];
			const isSameOwner = names.has(row.owner) && pool.shards[row.base].owner === row.owner;
			if (isSameOwner && isCooled(pool, shard) && !ctx.local.handovers.has(shardKey(pool.name, shard))) {
				propose(ctx, `merge:${pool.name}/${key}`, {
					kind: RecordKind.Merge, pool: pool.name, key, prev: row.fence,
				});
			}
		}
	}
}
