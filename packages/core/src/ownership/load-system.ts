import {RecordKind} from '../records/index.js';
import {shardOf, type PoolRow, type TargetRow} from '../state/index.js';
import {propose, type Context} from './context.js';
import {shardKey, type HotKey} from './local-tables.js';
import {isCooled} from './placement-plan.js';

/** Weight of a new measurement against the ones before. */
const newWeight = 0.5;

/** Relative change of a shard's load from which it is worth a record. */
const minChange = 0.3;

/** Change in requests a second from which it is worth a record. */
const minChangeRate = 2;

/** Requests a second from which a key may be hot. */
const minHotRate = 5;

/** Load of a key over the mean load of a target from which it gets a shard of its own. */
const hotRatio = 0.25;

/** Takes in the loads measured since the last time. */
export function applyLoads(ctx: Context, rates: ReadonlyMap<string, number>, hotKeys: readonly HotKey[]): void {
	const {measuredRates: measured} = ctx.local;
	for (const [key, before] of measured) {
		const rate = rates.get(key) ?? 0;
		measured.set(key, before + ((rate - before) * newWeight));
	}

	for (const [key, rate] of rates) {
		if (!measured.has(key)) {
			measured.set(key, rate);
		}
	}

	ctx.local.hotKeys = hotKeys;
	ctx.local.hasNewLoads = true;
}

/** Records loads that changed, gives hot keys shards of their own and takes cooled ones back. */
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
		} else if (rate !== undefined && isNews(row.load, rate)) {
			changed.push([shard, Math.round(rate)]);
		}
	}

	return changed;
}

function isNews(known: number, rate: number): boolean {
	const change = Math.abs(rate - known);
	return change > minChangeRate && change > minChange * known;
}

function isolateHot(ctx: Context): void {
	for (const {pool, key, rate} of ctx.local.hotKeys) {
		const row = ctx.tables.pools.get(pool);
		const isHot = row !== undefined && rate >= minHotRate && rate >= hotRatio * meanTargetLoad(ctx, row);
		if (isHot && !row.hot.has(key)) {
			const {fence} = row.shards[shardOf(row, key)];
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
			const isHome = names.has(row.owner) && pool.shards[row.base].owner === row.owner;
			if (isHome && isCooled(pool, shard) && !ctx.local.handovers.has(shardKey(pool.name, shard))) {
				propose(ctx, `merge:${pool.name}/${key}`, {
					kind: RecordKind.Merge, pool: pool.name, key, prev: row.fence,
				});
			}
		}
	}
}
