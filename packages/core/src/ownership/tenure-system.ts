import {RecordKind, TargetState, type RecordBody} from '../records/index.js';
import {
	isGone, isMember, type InstanceRow, type TargetRow,
} from '../state/index.js';
import {
	isPlanner, isSuspected, members, membersOf, propose, type Context,
} from './context.js';
import {EffectKind} from './effect.js';

type TenureChange = Extract<RecordBody, {kind: RecordKind.Tenure}>['changes'][number];

/** Targets by which two members of a failure domain may differ before one is transferred. */
const maxTenureGap = 1;

/** Time for which one member tries to reach a lost target, in milliseconds. */
const lostPatienceMs = 10_000;

/** Stewardships that one member transfers at the same time, unless it leaves. */
const maxTransfers = 1;

/** Gives targets without a steward a new one, and evens the stewardships out. */
export function runTenures(ctx: Context, now: number): void {
	adoptOrphans(ctx, now);
	startTransfers(ctx, now);
	finishTransfers(ctx, now);
}

/** Takes in that no work is in flight on a target that is being transferred. */
export function handleTargetDrained(ctx: Context, target: string): void {
	const transfer = ctx.local.transfers.get(target);
	if (transfer !== undefined) {
		transfer.isDrained = true;
	}
}

/** New stewards for the targets of instances that are gone, or will be by the same append. */
export function orphanChanges(ctx: Context, leaving: ReadonlySet<string>): TenureChange[] {
	const orphans = [...ctx.tables.targets.values()].filter(row => isOrphan(ctx, row, leaving));
	const counts = tenureCounts(ctx);
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
	const changes = orphanChanges(ctx, new Set()).filter(change => {
		const row = ctx.tables.targets.get(change.target)!;
		const inside = membersOf(ctx, row.domain);
		return isPlanner(ctx, inside.length > 0 ? inside : members(ctx), now);
	});
	if (changes.length > 0) {
		propose(ctx, 'tenure', {kind: RecordKind.Tenure, changes});
	}
}

function isOrphan(ctx: Context, row: TargetRow, leaving: ReadonlySet<string>): boolean {
	return row.steward === '' || leaving.has(row.steward) || isGone(ctx.tables, row.steward);
}

/** The member with the fewest targets, of the target's own failure domain if there is one. */
function chooseSteward(ctx: Context, target: TargetRow, counts: ReadonlyMap<string, number>): InstanceRow | undefined {
	const usable = members(ctx).filter(row => !ctx.local.peers.get(row.id)?.isReplaced && !isLeavingSelf(ctx, row));
	const inside = usable.filter(row => row.domain === target.domain);
	const candidates = inside.length > 0 ? inside : usable;
	return candidates.toSorted((a, b) => (counts.get(a.id) ?? 0) - (counts.get(b.id) ?? 0))[0];
}

function isLeavingSelf(ctx: Context, row: InstanceRow): boolean {
	return ctx.isLeaving && row.id === ctx.self.id;
}

function tenureCounts(ctx: Context): Map<string, number> {
	const counts = new Map<string, number>();
	for (const row of ctx.tables.targets.values()) {
		counts.set(row.steward, (counts.get(row.steward) ?? 0) + 1);
	}

	return counts;
}

function startTransfers(ctx: Context, now: number): void {
	const own = [...ctx.tables.targets.values()].filter(row => row.steward === ctx.self.id);
	const counts = tenureCounts(ctx);
	for (const row of own) {
		const isFull = !ctx.isLeaving && ctx.local.transfers.size >= maxTransfers;
		if (isFull || ctx.local.transfers.has(row.name) || hasHandovers(ctx, row.name)) {
			continue;
		}

		const to = chooseHeir(ctx, row, counts, now);
		if (to !== undefined) {
			counts.set(to.id, (counts.get(to.id) ?? 0) + 1);
			ctx.local.transfers.set(row.name, {target: row.name, to: to.id, isDrained: false});
			ctx.emit({kind: EffectKind.DrainTarget, target: row.name});
		}
	}
}

/** Who should be steward in place of this member; undefined to keep the target. */
function chooseHeir(ctx: Context, target: TargetRow, counts: ReadonlyMap<string, number>, now: number): InstanceRow | undefined {
	const others = members(ctx).filter(row => row.id !== ctx.self.id && !isSuspected(ctx, row.id, now));
	const inside = others.filter(row => row.domain === target.domain);
	const least = fewest(inside, counts);
	if (ctx.isLeaving) {
		return least ?? fewest(others, counts);
	}

	if (target.domain !== ctx.self.domain || isLostForLong(ctx, target, now)) {
		return least;
	}

	const own = counts.get(ctx.self.id) ?? 0;
	const isTooMany = least !== undefined && own - (counts.get(least.id) ?? 0) > maxTenureGap;
	return isTooMany ? least : undefined;
}

/** Whether only this member may be unable to reach a lost target; another one then tries. */
function isLostForLong(ctx: Context, target: TargetRow, now: number): boolean {
	const grant = ctx.local.grants.get(target.name);
	return target.state === TargetState.Lost
		&& grant !== undefined
		&& grant.failures > 0
		&& now - grant.priorLeaseEnd > lostPatienceMs;
}

function fewest(rows: readonly InstanceRow[], counts: ReadonlyMap<string, number>): InstanceRow | undefined {
	return rows.toSorted((a, b) => (counts.get(a.id) ?? 0) - (counts.get(b.id) ?? 0))[0];
}

function finishTransfers(ctx: Context, now: number): void {
	for (const transfer of ctx.local.transfers.values()) {
		const row = ctx.tables.targets.get(transfer.target);
		const isOver = row?.steward !== ctx.self.id;
		const isHeirUsable = isMember(ctx.tables, transfer.to) && !isSuspected(ctx, transfer.to, now);
		const grant = ctx.local.grants.get(transfer.target);
		if (isOver) {
			ctx.local.transfers.delete(transfer.target);
		} else if (!isHeirUsable && !grant?.isReleasePending) {
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

/** Ends a transfer that came to nothing; the member stays steward. */
export function cancelTransfer(ctx: Context, target: string): void {
	if (ctx.local.transfers.delete(target)) {
		ctx.emit({kind: EffectKind.Resume, target});
	}
}

function hasHandovers(ctx: Context, target: string): boolean {
	return [...ctx.local.handovers.values()].some(handover => handover.from === target);
}
