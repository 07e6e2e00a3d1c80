import {TargetState} from '../records/index.js';
import type {TargetRow} from '../state/index.js';
import {isSelfMember, type Context} from './context.js';
import {
	EffectKind, type FencedShard, type GrantAnswer, type GrantEffect, type ShardRef,
} from './effect.js';
import {HandoverPhase, shardKey, type GrantRow} from './local-tables.js';
import {Mutation} from './mutation.js';
import {leaseRenewalIntervalMs, withDriftMargin, type Timing} from './timing.js';

/** Failures in a row after which the lease is left to run out. */
export const maxGrantFailures = 2;

/** Between two questions to a lost target, in renewal intervals. */
const lostAskFactor = 5;

/** Renews the leases of the targets of which this member is the steward. */
export function runGrants(ctx: Context, now: number): void {
	dropOldGrants(ctx);
	const mayGrant = isSelfMember(ctx) && ctx.right.holds(now);
	for (const target of ctx.tables.targets.values()) {
		if (target.steward !== ctx.self.id) {
			continue;
		}

		const row = ctx.local.grants.get(target.name) ?? addGrant(ctx, target, now);
		const isDue = now >= row.nextSendAt || (row.failures === 0 && hasNews(ctx, target, row));
		if (mayGrant && isDue && !row.isReleasePending && !row.isSuperseded && !row.isAwaiting) {
			send(ctx, target, row, now);
		}
	}
}

/** Takes in what a target answered to a grant. */
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
		takeAccepted(ctx, row, effect);
		forgetIfLapsed(row, answer, now);
	}
}

/** Takes in that a grant was not answered; it may still arrive. */
export function handleGrantFailure(ctx: Context, effect: GrantEffect): void {
	const row = ctx.local.grants.get(effect.target);
	if (row?.tenure === effect.tenure) {
		row.isAwaiting = false;
		row.failures += 1;
	}
}

/** End of a lease by this member's clock, if it ends at `until` by the target's clock. */
export function latestLeaseEnd(row: GrantRow, until: number, timing: Timing): number {
	const {reading, answeredAt} = row.clock!;
	return answeredAt + withDriftMargin(until - reading, timing);
}

/** Time before which a lease that ends at `until` by the target's clock surely holds. */
export function earliestLeaseEnd(row: GrantRow, until: number, timing: Timing): number {
	const {reading, askedAt} = row.clock!;
	return askedAt + ((until - reading) * (1 - (2 * timing.drift)));
}

/** A target whose lease lapsed between two grants has forgotten shards that it confirmed before. */
function forgetIfLapsed(row: GrantRow, answer: GrantAnswer, now: number): void {
	if (answer.shards === undefined || answer.shards === row.granted.size) {
		return;
	}

	if (answer.shards < row.granted.size) {
		row.granted.clear();
	}

	row.needsFullGrant = true;
	row.nextSendAt = now;
}

function takeAccepted(ctx: Context, row: GrantRow, effect: GrantEffect): void {
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

function dropOldGrants(ctx: Context): void {
	for (const [name, row] of ctx.local.grants) {
		const target = ctx.tables.targets.get(name);
		if (target?.steward !== ctx.self.id || target.tenure !== row.tenure) {
			ctx.local.grants.delete(name);
		}
	}
}

function send(ctx: Context, target: TargetRow, row: GrantRow, now: number): void {
	const isLost = target.state === TargetState.Lost;
	const isLease = row.clock !== undefined && row.failures < maxGrantFailures && !isLost;
	const until = isLease ? nextUntil(ctx, row, now) : 0;
	if (isLease && !ctx.mutations.has(Mutation.IgnoreLostAnswers)) {
		row.leaseEnd = Math.max(row.leaseEnd, latestLeaseEnd(row, until, ctx.timing));
	}

	if (isLease && now >= row.ackedEnd) {
		// The lease may have lapsed, and the target its shards with it.
		row.granted.clear();
		row.needsFullGrant = true;
	}

	row.nextSendAt = now + (leaseRenewalIntervalMs(ctx.timing) * (isLost ? lostAskFactor : 1));
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

/** End of the next lease by the target's clock; it also orders the grants of one tenure. */
function nextUntil(ctx: Context, row: GrantRow, now: number): number {
	const {reading, answeredAt} = row.clock!;
	const until = Math.max(reading + (now - answeredAt) + ctx.timing.leaseMs, row.sentUntil + 1);
	row.sentUntil = until;
	return until;
}

function hasNews(ctx: Context, target: TargetRow, row: GrantRow): boolean {
	return row.clock !== undefined
		&& (missingShards(ctx, target, row).length > 0 || surplusShards(ctx, target, row).length > 0);
}

/** Shards that the target owns and has not confirmed, but for those being revoked. */
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

/** Shards that the target confirmed and no longer owns, or is to give away. */
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
