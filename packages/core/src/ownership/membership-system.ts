import {RecordKind, TargetState} from '../records/index.js';
import {InstanceState, type TargetRow} from '../state/index.js';
import {
	isPlanner, isSelfMember, members, propose, type Context,
} from './context.js';
import {EffectKind} from './effect.js';
import type {GrantRow} from './local-tables.js';

/** Enters the roster, leaves it, and keeps the table of targets in step with the membership list. */
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
		leaveIfDone(ctx);
		return;
	}

	if (isPlanner(ctx, members(ctx), now)) {
		admitListed(ctx);
	}

	for (const target of ctx.tables.targets.values()) {
		if (target.steward === ctx.self.id) {
			followList(ctx, target);
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

function leaveIfDone(ctx: Context): void {
	const isSteward = [...ctx.tables.targets.values()].some(row => row.steward === ctx.self.id);
	const isAlone = members(ctx).every(row => row.id === ctx.self.id);
	if ((!isSteward || isAlone) && isSelfMember(ctx)) {
		propose(ctx, 'leave', {kind: RecordKind.Leave, instance: ctx.self.id, idsHandedOver: ctx.idsHandedOver});
		// Once the record is folded others may take over, whether or not it is read back here.
		ctx.right.evicted();
	}
}

/** Makes targets known that the list names, and moves those that own nothing to their new address. */
function admitListed(ctx: Context): void {
	const fresh = [...ctx.local.listedTargets?.values() ?? []].filter(listed => {
		const row = ctx.tables.targets.get(listed.name);
		const isMoved = row?.state === TargetState.Lost && row.addr !== listed.addr;
		return !listed.isLeaving && (row === undefined || isMoved);
	});
	if (fresh.length > 0) {
		const targets = fresh.map(({name, pool, domain, addr}) => ({
			name, pool, domain, addr,
		}));
		propose(ctx, 'admit', {kind: RecordKind.Admit, targets});
	}
}

/** The steward notes that its target leaves, stays after all, is gone or serves again. */
function followList(ctx: Context, target: TargetRow): void {
	if (ctx.local.listedTargets === undefined) {
		return;
	}

	const listed = ctx.local.listedTargets.get(target.name);
	if (listed === undefined) {
		retire(ctx, target);
	} else if (listed.isLeaving && target.state === TargetState.Live) {
		setState(ctx, target, TargetState.Leaving);
	} else if (!listed.isLeaving && target.state === TargetState.Leaving) {
		setState(ctx, target, TargetState.Live);
	}

	const grant = ctx.local.grants.get(target.name);
	if (target.state === TargetState.Lost && grant !== undefined && answersAgain(grant)) {
		setState(ctx, target, TargetState.Live);
	}
}

/** Whether a lost target answered after its last lease ended. */
function answersAgain(grant: GrantRow): boolean {
	return grant.failures === 0 && !grant.isReleasePending && grant.lastAckAt > grant.leaseEnd;
}

function setState(ctx: Context, target: TargetRow, state: TargetState): void {
	propose(ctx, `state:${target.name}`, {
		kind: RecordKind.TargetState, target: target.name, tenure: target.tenure, state,
	});
}

function retire(ctx: Context, target: TargetRow): void {
	const ownsNothing = !ctx.tables.pools.get(target.pool)?.shards.some(shard => shard.owner === target.name);
	if (target.state !== TargetState.Live && ownsNothing) {
		propose(ctx, `state:${target.name}`, {kind: RecordKind.Retire, target: target.name, tenure: target.tenure});
	}
}

/** Whether this process life has been evicted; its host joins again under a new id. */
export function checkEvicted(ctx: Context): boolean {
	const self = ctx.tables.instances.get(ctx.self.id);
	const isEvicted = self !== undefined && self.state !== InstanceState.Member;
	if (isEvicted && !ctx.isEvicted) {
		ctx.isEvicted = true;
		ctx.right.evicted();
		ctx.emit({kind: ctx.isLeaving ? EffectKind.Left : EffectKind.Rejoin});
	}

	return isEvicted;
}
