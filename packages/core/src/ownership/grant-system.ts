import {TargetState} from '../records/index.js';
import type {TargetRow} from '../state/index.js';
import {isSelfMember, type Context} from './context.js';
import {
	EffectKind, type FencedShard, type GrantAnswer, type GrantEffect, type ShardRef,
} from './effect.js';
import {HandoverPhase, shardKey, type GrantRow} from './local-tables.js';
import {Mutation} from './mutation.js';
import {leaseRenewalIntervalMs, withDriftMargin, type Timing} from './timing.js';

/** Consecutive failures after which the lease is left to expire. */
export const maxGrantFailures = 2;

/** Interval between two grants to a lost target, in lease renewal intervals. */
const lostTargetIntervalFactor = 5;

/** Renews the leases of the targets whose steward is this member. */
export function runGrants(ctx: Context, now: number): void {
	dropStaleGrants(ctx);
	const mayGrant = isSelfMember(ctx) && ctx.right.holds(now);
	for (const target of ctx.tables.targets.values()) {
		if (target.steward !== ctx.self.id) {
			continue;
		}

		const row = ctx.local.grants.get(target.name) ?? addGrant(ctx, target, now);
		const isDue = now >= row.nextSendAt || (row.failures === 0 && hasShardChanges(ctx, target, row));
		if (mayGrant && isDue && !row.isReleasePending && !row.isSuperseded && !row.isAwaiting) {
			sendGrant(ctx, target, row, now);
		}
	}
}

/** Handles the answer of a target to a grant. */
export function handleGrantAnswer(ctx: Context, effect: GrantEffect, answer: GrantAnswer, now: number): void {
	const row = ctx.local.grants.get(effect.target);
	if (row?.tenure !== effect.tenure) {
		return;
	}

	row.isAwaiting = false;
	row.failures = 0;
	row.lastAckAt = now;
	row.clock = {reading: answer.clock, askedAt: effect.sentAt, answeredAt: now};
	if (answer.tenure > row.tenure) {
		row.isSuperseded = true;
		return;
	}

	if (answer.incarnation !== row.incarnation) {
		row.incarnation = answer.incarnation;
		row.granted.clear();
		row.needsFullGrant = true;
		row.ackedEnd = -Infinity;
		row.ackedUntil = 0;
		row.sentUntil = -Infinity;
		row.nextSendAt = now;
		return;
	}

	if (answer.accepted && effect.until > 0) {
		applyAccepted(ctx, row, effect);
		resetIfLeaseExpired(row, answer, now);
	}
}

/** Counts a grant that was not answered; it may still reach the target. */
export function handleGrantFailure(ctx: Context, effect: GrantEffect): void {
	const row = ctx.local.grants.get(effect.target);
	if (row?.tenure === effect.tenure) {
		row.isAwaiting = false;
		row.failures += 1;
	}
}

/** Returns the latest time on this member's clock at which a lease ends that ends at `until` on the target's clock. */
export function latestLeaseEnd(row: GrantRow, until: number, timing: Timing): number {
	const {reading, answeredAt} = row.clock!;
	return answeredAt + withDriftMargin(until - reading, timing);
}

/** Returns the time on this member's clock until which a lease that ends at `until` on the target's clock is certain to hold. */
export function earliestLeaseEnd(row: GrantRow, until: number, timing: Timing): number {
	const {reading, askedAt} = row.clock!;
	return askedAt + ((until - reading) * (1 - (2 * timing.drift)));
}

/** Requests a full grant when the target holds another number of shards than it confirmed: it drops its shards when its lease expires between two grants. */
function resetIfLeaseExpired(row: GrantRow, answer: GrantAnswer, now: number): void {
	if (answer.shards === undefined || answer.shards === row.granted.size) {
		return;
	}

	if (answer.shards < row.granted.size) {
		row.granted.clear();
	}

	row.needsFullGrant = true;
	row.nextSendAt = now;
}

function applyAccepted(ctx: Context, row: GrantRow, effect: GrantEffect): void {
	row.ackedEnd = Math.max(row.ackedEnd, effect.usableUntil);
	row.ackedUntil = Math.max(row.ackedUntil, effect.until);
	if (effect.isFull) {
		row.granted.clear();
		row.needsFullGrant = false;
	}

	for (const shard of effect.grant) {
		row.granted.set(shardKey(shard.pool, shard.shard), shard.fence);
	}

	for (const shard of effect.revoke) {
		const key = shardKey(shard.pool, shard.shard);
		row.granted.delete(key);
		const handover = ctx.local.handovers.get(key);
		if (handover?.phase === HandoverPhase.Revoking && handover.from === row.target) {
			handover.isRevoked = true;
		}
	}
}

function addGrant(ctx: Context, target: TargetRow, now: number): GrantRow {
	const isWaitSkipped = ctx.mutations.has(Mutation.SkipLeaseWait);
	const row: GrantRow = {
		target: target.name,
		tenure: target.tenure,
		priorLeaseEnd: isWaitSkipped ? now : now + withDriftMargin(ctx.timing.leaseMs, ctx.timing),
		clock: undefined,
		sentUntil: -Infinity,
		leaseEnd: -Infinity,
		ackedEnd: -Infinity,
		ackedUntil: 0,
		lastAckAt: -Infinity,
		nextSendAt: now,
		failures: 0,
		isAwaiting: false,
		incarnation: '',
		granted: new Map(),
		needsFullGrant: true,
		isSuperseded: false,
		isReleasePending: false,
	};
	ctx.local.grants.set(target.name, row);
	return row;
}

function dropStaleGrants(ctx: Context): void {
	for (const [name, row] of ctx.local.grants) {
		const target = ctx.tables.targets.get(name);
		if (target?.steward !== ctx.self.id || target.tenure !== row.tenure) {
			ctx.local.grants.delete(name);
		}
	}
}

function sendGrant(ctx: Context, target: TargetRow, row: GrantRow, now: number): void {
	const isLost = target.state === TargetState.Lost;
	const isLease = row.clock !== undefined && row.failures < maxGrantFailures && !isLost;
	const until = isLease ? nextLeaseUntil(ctx, row, now) : 0;
	if (isLease && !ctx.mutations.has(Mutation.IgnoreLostAnswers)) {
		row.leaseEnd = Math.max(row.leaseEnd, latestLeaseEnd(row, until, ctx.timing));
	}

	if (isLease && now >= row.ackedEnd) {
		// The lease may have expired, and the target may have dropped its shards with it.
		row.granted.clear();
		row.needsFullGrant = true;
	}

	row.nextSendAt = now + (leaseRenewalIntervalMs(ctx.timing) * (isLost ? lostTargetIntervalFactor : 1));
	row.isAwaiting = true;
	ctx.emit({
		kind: EffectKind.Grant,
		target: target.name,
		addr: target.addr,
		tenure: row.tenure,
		incarnation: row.incarnation,
		until,
		usableUntil: isLease ? earliestLeaseEnd(row, until, ctx.timing) : -Infinity,
		isFull: row.needsFullGrant,
		grant: isLease ? missingShards(ctx, target, row) : [],
		revoke: isLease ? surplusShards(ctx, target, row) : [],
		sentAt: now,
	});
}

/** Returns the end of the next lease on the target's clock. It increases with every grant, so it also orders the grants of a tenure. */
function nextLeaseUntil(ctx: Context, row: GrantRow, now: number): number {
	const {reading, answeredAt} = row.clock!;
	const until = Math.max(reading + (now - answeredAt) + ctx.timing.leaseMs, row.sentUntil + 1);
	row.sentUntil = until;
	return until;
}

function hasShardChanges(ctx: Context, target: TargetRow, row: GrantRow): boolean {
	return row.clock !== undefined
		&& (missingShards(ctx, target, row).length > 0 || surplusShards(ctx, target, row).length > 0);
}

/** Returns shards that the target owns and has not confirmed, except those being revoked. */
function missingShards(ctx: Context, target: TargetRow, row: GrantRow): FencedShard[] {
	const missing: FencedShard[] = [];
	const pool = ctx.tables.pools.get(target.pool);
	for (const [shard, {owner, fence}] of pool?.shards.entries() ?? []) {
		const key = shardKey(target.pool, shard);
		const isKnown = row.granted.get(key) === fence && !row.needsFullGrant;
		if (owner === target.name && !isKnown && !isRevoking(ctx, key)) {
			missing.push({pool: target.pool, shard, fence});
		}
	}

	return missing;
}

/** Returns shards that the target has confirmed but no longer owns or must hand over. */
function surplusShards(ctx: Context, target: TargetRow, row: GrantRow): ShardRef[] {
	const shards = ctx.tables.pools.get(target.pool)?.shards ?? [];
	const surplus: ShardRef[] = [];
	for (const key of row.granted.keys()) {
		const shard = Number(key.slice(target.pool.length + 1));
		if (shards[shard]?.owner !== target.name || isRevoking(ctx, key)) {
			surplus.push({pool: target.pool, shard});
		}
	}

	for (const handover of ctx.local.handovers.values()) {
		const isUnconfirmed = handover.from === target.name
			&& handover.phase === HandoverPhase.Revoking
			&& !handover.isRevoked
			&& !row.granted.has(shardKey(handover.pool, handover.shard));
		if (isUnconfirmed) {
			surplus.push({pool: handover.pool, shard: handover.shard});
		}
	}

	return surplus;
}

function isRevoking(ctx: Context, key: string): boolean {
	const phase = ctx.local.handovers.get(key)?.phase;
	return phase === HandoverPhase.Revoking || phase === HandoverPhase.Proposed;
}
