import {RecordKind, TargetState, type Move} from '../records/index.js';
import {type TargetRow} from '../state/index.js';
import {
	isPlanner, getMembers, propose, type Context,
} from './context.js';
import {EffectKind} from './effect.js';
import {maxGrantFailures} from './grant-system.js';
import {
	HandoverPhase, shardKey, type GrantRow, type HandoverRow,
} from './local-tables.js';
import {Mutation} from './mutation.js';
import {planPlacement, type PlacementPlan} from './placement-plan.js';

/** Maximum number of shards of one target that are handed over together. */
const handoverBatchSize = 8;

/** Minimum interval between two batches from one target, in milliseconds. */
const handoverIntervalMs = 100;

/** Minimum interval between two placement plans, in milliseconds. */
const planIntervalMs = 50;

/** Maximum number of unowned shards placed by one record. */
const placementBatchSize = 512;

/** Hands over shards that belong to another target, declares targets lost and places unowned shards. */
export function runHandovers(ctx: Context, now: number): void {
	for (const row of ctx.local.grants.values()) {
		const target = ctx.tables.targets.get(row.target);
		if (target === undefined || row.isReleasePending) {
			continue;
		}

		if (isLost(ctx, target, row, now)) {
			declareLost(ctx, target, row);
		} else if (ctx.right.holds(now)) {
			startHandovers(ctx, target, row, now);
			proposeMoves(ctx, target, row);
		}
	}

	placeUnowned(ctx, now);
}

/** Starts to revoke a shard that is being handed over, once no work is in flight on it. */
export function handleShardDrained(ctx: Context, pool: string, shard: number): void {
	const handover = ctx.local.handovers.get(shardKey(pool, shard));
	if (handover?.phase === HandoverPhase.Draining) {
		handover.phase = HandoverPhase.Revoking;
	}
}

/**
 * Ends handovers of a target and resumes work on their shards: with `resume` only
 * those that were proposed, otherwise all.
 */
export function endHandovers(ctx: Context, target: string, resume: boolean): void {
	for (const [key, handover] of ctx.local.handovers) {
		const isOver = handover.from === target && (!resume || handover.phase === HandoverPhase.Proposed);
		if (isOver) {
			ctx.local.handovers.delete(key);
			const shard = {pool: handover.pool, shard: handover.shard};
			ctx.emit({kind: EffectKind.Resume, target, shard});
		}
	}
}

/** Drops handovers whose shard has got a new ownership meanwhile, or whose target has another steward. */
export function dropStaleHandovers(ctx: Context): void {
	for (const [key, handover] of ctx.local.handovers) {
		const shard = ctx.tables.pools.get(handover.pool)?.shards[handover.shard];
		const target = ctx.tables.targets.get(handover.from);
		if (shard?.fence !== handover.fence || target?.steward !== ctx.self.id) {
			ctx.local.handovers.delete(key);
		}
	}
}

function isLost(ctx: Context, target: TargetRow, row: GrantRow, now: number): boolean {
	return target.state !== TargetState.Lost
		&& row.failures >= maxGrantFailures
		&& now >= Math.max(row.leaseEnd, row.priorLeaseEnd)
		&& ctx.right.holds(now);
}

/** Declares a target lost after its lease has expired and reassigns its shards in the same record. */
function declareLost(ctx: Context, target: TargetRow, row: GrantRow): void {
	const moves = movesAwayFrom(ctx, target);
	const isProposed = propose(ctx, `give:${target.name}`, {
		kind: RecordKind.Moves,
		lost: {target: target.name, tenure: row.tenure},
		moves,
	});
	row.isReleasePending = isProposed;
}

function movesAwayFrom(ctx: Context, target: TargetRow): Move[] {
	const targets = new Map(ctx.tables.targets);
	targets.set(target.name, {...target, state: TargetState.Lost});
	const owners = planPlacement({...ctx.tables, targets}).owners.get(target.pool) ?? [];
	return ownedShards(ctx, target)
		.map(({shard, fence}) => ({
			pool: target.pool, shard, to: owners[shard] ?? '', prev: fence, tenure: target.tenure,
		}))
		.filter(move => move.to !== '' && move.to !== target.name);
}

function startHandovers(ctx: Context, target: TargetRow, row: GrantRow, now: number): void {
	const mayStart = now >= (ctx.local.nextHandoverAt.get(target.name) ?? 0)
		&& now >= row.priorLeaseEnd
		&& !ctx.local.isLogRefusing
		&& row.failures === 0
		&& !row.needsFullGrant
		&& !ctx.local.transfers.has(target.name)
		&& !hasHandovers(ctx, target.name);
	if (!mayStart) {
		return;
	}

	const owners = currentPlan(ctx, now).owners.get(target.pool) ?? [];
	const misplaced = ownedShards(ctx, target).filter(({shard}) => (owners[shard] ?? '') !== '' && owners[shard] !== target.name);
	if (misplaced.length === 0) {
		return;
	}

	ctx.local.nextHandoverAt.set(target.name, now + handoverIntervalMs);
	for (const {shard, fence} of misplaced.slice(0, handoverBatchSize)) {
		startHandover(ctx, {
			pool: target.pool,
			shard,
			from: target.name,
			to: owners[shard],
			fence,
			phase: HandoverPhase.Draining,
			isRevoked: false,
		});
	}
}

function startHandover(ctx: Context, handover: HandoverRow): void {
	ctx.local.handovers.set(shardKey(handover.pool, handover.shard), handover);
	if (ctx.mutations.has(Mutation.MoveWithoutRelease)) {
		handover.phase = HandoverPhase.Revoking;
		handover.isRevoked = true;
		return;
	}

	ctx.emit({
		kind: EffectKind.DrainShard, target: handover.from, pool: handover.pool, shard: handover.shard,
	});
}

/** Proposes the moves of a batch once all its shards are revoked. */
function proposeMoves(ctx: Context, target: TargetRow, row: GrantRow): void {
	const batch = [...ctx.local.handovers.values()].filter(handover => handover.from === target.name);
	if (batch.length === 0 || !batch.every(handover => handover.isRevoked && handover.phase === HandoverPhase.Revoking)) {
		return;
	}

	const moves = batch.map(handover => ({
		pool: handover.pool, shard: handover.shard, to: handover.to, prev: handover.fence, tenure: row.tenure,
	}));
	if (propose(ctx, `move:${target.name}`, {kind: RecordKind.Moves, moves})) {
		for (const handover of batch) {
			handover.phase = HandoverPhase.Proposed;
		}
	}
}

function placeUnowned(ctx: Context, now: number): void {
	if (!isPlanner(ctx, getMembers(ctx), now) || !ctx.right.holds(now)) {
		return;
	}

	const moves: Move[] = [];
	for (const pool of ctx.tables.pools.values()) {
		const owners = currentPlan(ctx, now).owners.get(pool.name) ?? [];
		for (const [shard, {owner, fence}] of pool.shards.entries()) {
			const to = owners[shard] ?? '';
			if (owner === '' && to !== '' && moves.length < placementBatchSize) {
				moves.push({
					pool: pool.name, shard, to, prev: fence, tenure: 0,
				});
			}
		}
	}

	if (moves.length > 0) {
		propose(ctx, 'place', {kind: RecordKind.Moves, moves});
	}
}

/** Returns the plan for the folded tables. It is recomputed at limited intervals because load records keep changing the tables. */
function currentPlan(ctx: Context, now: number): PlacementPlan {
	const {local, tables} = ctx;
	const isStale = local.plan?.folded !== tables.folded && now >= local.nextPlanAt;
	if (local.plan === undefined || isStale) {
		local.plan = planPlacement(tables);
		local.nextPlanAt = now + planIntervalMs;
	}

	return local.plan;
}

function ownedShards(ctx: Context, target: TargetRow): Array<{readonly shard: number; readonly fence: number}> {
	const shards = ctx.tables.pools.get(target.pool)?.shards ?? [];
	return [...shards.entries()]
		.filter(([, row]) => row.owner === target.name)
		.map(([shard, row]) => ({shard, fence: row.fence}));
}

function hasHandovers(ctx: Context, target: string): boolean {
	return [...ctx.local.handovers.values()].some(handover => handover.from === target);
}
