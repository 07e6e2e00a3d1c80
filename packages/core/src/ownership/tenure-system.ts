import {RecordKind, TargetState, type RecordBody} from '../records/index.js';
import {
	isRemoved, isMember, type InstanceRow, type TargetRow,
} from '../state/index.js';
import {
	isPlanner, isSuspected, getMembers, getDomainMembers, propose, type Context,
} from './context.js';
import {EffectKind} from './effect.js';

type TenureChange = Extract<RecordBody, {kind: RecordKind.Tenure}>['changes'][number];

/** Difference between the numbers of targets of two members of a failure domain above which one is transferred. */
const maxTargetDifference = 1;

/** Time after which a lost target that its steward cannot reach is transferred, in milliseconds. */
const lostTargetTransferDelayMs = 10_000;

/** Number of concurrent transfers from one member that is not leaving. */
const maxTransfers = 1;

/** Assigns stewards to targets without one and balances the targets among the members. */
export function runTenures(ctx: Context, now: number): void {
	adoptOrphans(ctx, now);
	startTransfers(ctx, now);
	finishTransfers(ctx, now);
}

/** Marks a target that is being transferred as drained: no work is in flight on it. */
export function handleTargetDrained(ctx: Context, target: string): void {
	const transfer = ctx.local.transfers.get(target);
	if (transfer !== undefined) {
		transfer.isDrained = true;
	}
}

/** Returns new stewards for targets whose steward is missing, has been removed or is in `leaving`, the instances that the same append removes. */
export function planOrphanChanges(ctx: Context, leaving: ReadonlySet<string>): TenureChange[] {
	const orphans = [...ctx.tables.targets.values()].filter(row => isOrphan(ctx, row, leaving));
	const counts = countTargetsBySteward(ctx);
	const changes: TenureChange[] = [];
	for (const row of orphans) {
		const steward = chooseSteward(ctx, row, counts);
		if (steward !== undefined) {
			counts.set(steward.id, (counts.get(steward.id) ?? 0) + 1);
			changes.push({target: row.name, steward: steward.id, prev: row.tenure});
		}
	}

	return changes;
}

function adoptOrphans(ctx: Context, now: number): void {
	const changes = planOrphanChanges(ctx, new Set()).filter(change => {
		const row = ctx.tables.targets.get(change.target)!;
		const sameDomain = getDomainMembers(ctx, row.domain);
		return isPlanner(ctx, sameDomain.length > 0 ? sameDomain : getMembers(ctx), now);
	});
	if (changes.length > 0) {
		propose(ctx, 'tenure', {kind: RecordKind.Tenure, changes});
	}
}

function isOrphan(ctx: Context, row: TargetRow, leaving: ReadonlySet<string>): boolean {
	return row.steward === '' || leaving.has(row.steward) || isRemoved(ctx.tables, row.steward);
}

/** Returns the member with the fewest targets, preferably from the failure domain of the target. */
function chooseSteward(ctx: Context, target: TargetRow, counts: ReadonlyMap<string, number>): InstanceRow | undefined {
	const usable = getMembers(ctx).filter(row => !ctx.local.peers.get(row.id)?.isReplaced && !isLeavingSelf(ctx, row));
	const sameDomain = usable.filter(row => row.domain === target.domain);
	const candidates = sameDomain.length > 0 ? sameDomain : usable;
	return candidates.toSorted((a, b) => (counts.get(a.id) ?? 0) - (counts.get(b.id) ?? 0))[0];
}

function isLeavingSelf(ctx: Context, row: InstanceRow): boolean {
	return ctx.isLeaving && row.id === ctx.self.id;
}

function countTargetsBySteward(ctx: Context): Map<string, number> {
	const counts = new Map<string, number>();
	for (const row of ctx.tables.targets.values()) {
		counts.set(row.steward, (counts.get(row.steward) ?? 0) + 1);
	}

	return counts;
}

function startTransfers(ctx: Context, now: number): void {
	const own = [...ctx.tables.targets.values()].filter(row => row.steward === ctx.self.id);
	const counts = countTargetsBySteward(ctx);
	for (const row of own) {
		const isFull = !ctx.isLeaving && ctx.local.transfers.size >= maxTransfers;
		if (isFull || ctx.local.transfers.has(row.name) || hasHandovers(ctx, row.name)) {
			continue;
		}

		const to = chooseSuccessor(ctx, row, counts, now);
		if (to !== undefined) {
			counts.set(to.id, (counts.get(to.id) ?? 0) + 1);
			ctx.local.transfers.set(row.name, {target: row.name, to: to.id, isDrained: false});
			ctx.emit({kind: EffectKind.DrainTarget, target: row.name});
		}
	}
}

/** Returns the member that should replace this one as steward; undefined to keep the target. */
function chooseSuccessor(ctx: Context, target: TargetRow, counts: ReadonlyMap<string, number>, now: number): InstanceRow | undefined {
	const others = getMembers(ctx).filter(row => row.id !== ctx.self.id && !isSuspected(ctx, row.id, now));
	const sameDomain = others.filter(row => row.domain === target.domain);
	const candidate = withFewestTargets(sameDomain, counts);
	if (ctx.isLeaving) {
		return candidate ?? withFewestTargets(others, counts);
	}

	if (target.domain !== ctx.self.domain || isLostForLong(ctx, target, now)) {
		return candidate;
	}

	const own = counts.get(ctx.self.id) ?? 0;
	const isAboveLimit = candidate !== undefined && own - (counts.get(candidate.id) ?? 0) > maxTargetDifference;
	return isAboveLimit ? candidate : undefined;
}

/** Returns whether a lost target has not answered for long. Possibly only this member cannot reach it, so another one tries. */
function isLostForLong(ctx: Context, target: TargetRow, now: number): boolean {
	const grant = ctx.local.grants.get(target.name);
	return target.state === TargetState.Lost
		&& grant !== undefined
		&& grant.failures > 0
		&& now - grant.priorLeaseEnd > lostTargetTransferDelayMs;
}

function withFewestTargets(rows: readonly InstanceRow[], counts: ReadonlyMap<string, number>): InstanceRow | undefined {
	return rows.toSorted((a, b) => (counts.get(a.id) ?? 0) - (counts.get(b.id) ?? 0))[0];
}

function finishTransfers(ctx: Context, now: number): void {
	for (const transfer of ctx.local.transfers.values()) {
		const row = ctx.tables.targets.get(transfer.target);
		const isOver = row?.steward !== ctx.self.id;
		const isSuccessorUsable = isMember(ctx.tables, transfer.to) && !isSuspected(ctx, transfer.to, now);
		const grant = ctx.local.grants.get(transfer.target);
		if (isOver) {
			ctx.local.transfers.delete(transfer.target);
		} else if (!isSuccessorUsable && !grant?.isReleasePending) {
			cancelTransfer(ctx, transfer.target);
		} else if (transfer.isDrained && !grant?.isReleasePending) {
			const changes = [{target: row.name, steward: transfer.to, prev: row.tenure}];
			propose(ctx, `give:${row.name}`, {kind: RecordKind.Tenure, changes});
			if (grant !== undefined) {
				grant.isReleasePending = true;
			}
		}
	}
}

/** Cancels a transfer; this member remains the steward. */
export function cancelTransfer(ctx: Context, target: string): void {
	if (ctx.local.transfers.delete(target)) {
		ctx.emit({kind: EffectKind.Resume, target});
	}
}

function hasHandovers(ctx: Context, target: string): boolean {
	return [...ctx.local.handovers.values()].some(handover => handover.from === target);
}
