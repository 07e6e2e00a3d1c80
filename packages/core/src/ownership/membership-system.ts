import {RecordKind, TargetState} from '../records/index.js';
import {InstanceState, type TargetRow} from '../state/index.js';
import {
	isPlanner, isSelfMember, getMembers, propose, type Context,
} from './context.js';
import {EffectKind} from './effect.js';
import type {GrantRow} from './local-tables.js';

/** Joins and leaves the membership and updates the targets from the membership list. */
export function runMembership(ctx: Context, now: number): void {
	const self = ctx.tables.instances.get(ctx.self.id);
	if (self === undefined) {
		join(ctx);
		return;
	}

	if (self.state !== InstanceState.Member) {
		return;
	}

	if (ctx.isLeaving) {
		leaveIfReady(ctx);
		return;
	}

	if (isPlanner(ctx, getMembers(ctx), now)) {
		admitListedTargets(ctx);
	}

	for (const target of ctx.tables.targets.values()) {
		if (target.steward === ctx.self.id) {
			applyListing(ctx, target);
		}
	}
}

function join(ctx: Context): void {
	const {id, ...rest} = ctx.self;
	if (!ctx.isLeaving) {
		propose(ctx, 'join', {
			kind: RecordKind.Join, instance: id, former: ctx.former, ...rest,
		});
	}
}

function leaveIfReady(ctx: Context): void {
	const isSteward = [...ctx.tables.targets.values()].some(row => row.steward === ctx.self.id);
	const isAlone = getMembers(ctx).every(row => row.id === ctx.self.id);
	if ((!isSteward || isAlone) && isSelfMember(ctx)) {
		propose(ctx, 'leave', {
			kind: RecordKind.Leave, instance: ctx.self.id, idsHandedOver: ctx.idsHandedOver, idsHolder: ctx.idsHolder, copiesHolder: ctx.copiesHolder,
		});
		// Others may take over as soon as they fold the record, even if this member never reads it back.
		ctx.hasProposedLeave = true;
		ctx.right.recordEviction();
	}
}

/** Admits targets that are new on the membership list, and lost targets under their new address. */
function admitListedTargets(ctx: Context): void {
	const newTargets = [...ctx.local.listedTargets?.values() ?? []].filter(listed => {
		const row = ctx.tables.targets.get(listed.name);
		const isReaddressed = row?.state === TargetState.Lost && row.addr !== listed.addr;
		return !listed.isLeaving && (row === undefined || isReaddressed);
	});
	if (newTargets.length > 0) {
		const targets = newTargets.map(({name, pool, domain, addr}) => ({
			name, pool, domain, addr,
		}));
		propose(ctx, 'admit', {kind: RecordKind.Admit, targets});
	}
}

/** Proposes, as the steward, that a target is leaving, is live again or is retired. */
function applyListing(ctx: Context, target: TargetRow): void {
	if (ctx.local.listedTargets === undefined) {
		return;
	}

	const listed = ctx.local.listedTargets.get(target.name);
	if (listed === undefined) {
		retireIfUnused(ctx, target);
	} else if (listed.isLeaving && target.state === TargetState.Live) {
		proposeState(ctx, target, TargetState.Leaving);
	} else if (!listed.isLeaving && target.state === TargetState.Leaving) {
		proposeState(ctx, target, TargetState.Live);
	}

	const grant = ctx.local.grants.get(target.name);
	if (target.state === TargetState.Lost && grant !== undefined && hasAnsweredSinceLease(grant)) {
		proposeState(ctx, target, TargetState.Live);
	}
}

/** Returns whether a lost target has answered since its last lease ended. */
function hasAnsweredSinceLease(grant: GrantRow): boolean {
	return grant.failures === 0 && !grant.isReleasePending && grant.lastAckAt > grant.leaseEnd;
}

function proposeState(ctx: Context, target: TargetRow, state: TargetState): void {
	propose(ctx, `state:${target.name}`, {
		kind: RecordKind.TargetState, target: target.name, tenure: target.tenure, state,
	});
}

function retireIfUnused(ctx: Context, target: TargetRow): void {
	const ownsNothing = !ctx.tables.pools.get(target.pool)?.shards.some(shard => shard.owner === target.name);
	if (target.state !== TargetState.Live && ownsNothing) {
		propose(ctx, `state:${target.name}`, {kind: RecordKind.Retire, target: target.name, tenure: target.tenure});
	}
}

/**
 * Returns whether this incarnation is no longer a member. The first time it asks
 * the host to join again under a new id, or reports that the member has left.
 */
export function checkEvicted(ctx: Context): boolean {
	const self = ctx.tables.instances.get(ctx.self.id);
	const isEvicted = self !== undefined && self.state !== InstanceState.Member;
	if (isEvicted && !ctx.isEvicted) {
		ctx.isEvicted = true;
		ctx.right.recordEviction();
		ctx.emit({kind: ctx.isLeaving ? EffectKind.Left : EffectKind.Rejoin});
	}

	return isEvicted;
}
