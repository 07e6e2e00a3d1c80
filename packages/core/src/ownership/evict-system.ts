import {RecordKind, type RecordBody} from '../records/index.js';
import {
	InstanceState, isMember, type EvictionRow, type InstanceRow,
} from '../state/index.js';
import {silentDomains} from './heartbeat-system.js';
import {
	isPlanner, isSuspected, members, membersOf, propose, type Context,
} from './context.js';
import {EffectKind} from './effect.js';
import type {EvictionProgress} from './local-tables.js';
import {Mutation} from './mutation.js';
import {orphanChanges} from './tenure-system.js';
import {withDriftMargin} from './timing.js';

/** Heartbeats for which a whole failure domain is silent before it is evicted. */
const domainSilenceBeats = 20;

/** Evicts instances that are lost and completes own evictions. */
export function runEvictions(ctx: Context, now: number): void {
	proposeInside(ctx, now);
	proposeOutside(ctx, now);
	proposeDeclaredLost(ctx, now);
	adoptEvictions(ctx, now);
	for (const eviction of ctx.tables.evictions.values()) {
		if (eviction.by === ctx.self.id) {
			workOn(ctx, eviction, now);
		}
	}

	dropEndedWork(ctx);
}

/** Takes in that a member folded an eviction. */
export function handleConfirmation(ctx: Context, peerId: string, eviction: number): void {
	ctx.local.evictionProgress.get(eviction)?.confirmed.add(peerId);
}

/**
 * Evicts members of the own failure domain that nobody inside hears. Only few
 * members watch each one, so whoever knows proposes; a second record replaces
 * the first.
 */
function proposeInside(ctx: Context, now: number): void {
	const inside = membersOf(ctx, ctx.self.domain);
	const lost = inside.filter(row => row.id !== ctx.self.id && isLostInside(ctx, row, inside, now));
	if (lost.length > 0) {
		propose(ctx, 'evict', {kind: RecordKind.Evict, members: lost.map(row => row.id)});
	}
}

/** A member reported lost by one observer only is not lost. */
function isLostInside(ctx: Context, row: InstanceRow, inside: readonly InstanceRow[], now: number): boolean {
	if (ctx.mutations.has(Mutation.TrustMembershipList) && ctx.local.listedInstances?.has(row.name) === false) {
		return true;
	}

	if (!isSuspected(ctx, row.id, now)) {
		return false;
	}

	const peer = ctx.local.peers.get(row.id)!;
	if (peer.isReplaced) {
		return true;
	}

	const witnesses = inside.filter(other => other.id !== ctx.self.id && other.id !== row.id && observes(ctx, other, now));
	if (witnesses.length > 0) {
		return witnesses.some(other => ctx.local.peers.get(other.id)!.suspects.includes(row.id));
	}

	const silentFor = now - Math.max(peer.lastAnswerAt, peer.silenceCountedFrom);
	return silentFor > 2 * ctx.timing.suspectMs && ctx.right.holds(now);
}

/** Whether this member hears the other one. */
function observes(ctx: Context, row: InstanceRow, now: number): boolean {
	return ctx.local.peers.has(row.id) && !isSuspected(ctx, row.id, now);
}

/** Evicts a failure domain that neither this member nor another failure domain hears. */
function proposeOutside(ctx: Context, now: number): void {
	if (!isPlanner(ctx, membersOf(ctx, ctx.self.domain), now)) {
		return;
	}

	for (const domain of silentDomains(ctx, now)) {
		const rows = membersOf(ctx, domain);
		if (isSilentLong(ctx, rows, now) && othersAgree(ctx, domain, now)) {
			propose(ctx, 'evict', {kind: RecordKind.Evict, members: rows.map(row => row.id)});
		}
	}
}

function isSilentLong(ctx: Context, rows: readonly InstanceRow[], now: number): boolean {
	const longMs = domainSilenceBeats * ctx.timing.heartbeatMs;
	return rows.every(row => {
		const peer = ctx.local.peers.get(row.id)!;
		return now - Math.max(peer.lastAnswerAt, peer.silenceCountedFrom) > longMs;
	});
}

/** Every third failure domain must be heard, and must itself not hear the silent one. */
function othersAgree(ctx: Context, silent: string, now: number): boolean {
	const thirds = new Set(members(ctx).map(row => row.domain));
	thirds.delete(silent);
	thirds.delete(ctx.self.domain);
	for (const peer of ctx.local.peers.values()) {
		const domain = ctx.tables.instances.get(peer.id)?.domain ?? '';
		const agrees = peer.silentDomains.includes(silent) && !isSuspected(ctx, peer.id, now);
		if (agrees) {
			thirds.delete(domain);
		}
	}

	return thirds.size === 0;
}

/** Evicts the members of failure domains that the operators declare switched off. */
function proposeDeclaredLost(ctx: Context, now: number): void {
	const {domainsLost} = ctx.tables.config.rules;
	if (domainsLost.size === 0) {
		return;
	}

	const rows = members(ctx);
	const lost = rows.filter(row => domainsLost.has(row.domain) && row.id !== ctx.self.id);
	const left = rows.filter(row => !domainsLost.has(row.domain));
	if (lost.length > 0 && isPlanner(ctx, left, now)) {
		propose(ctx, 'evict', {kind: RecordKind.Evict, members: lost.map(row => row.id)});
	}
}

/** Evicts again what an evictor left unfinished that is itself evicted or gone. */
function adoptEvictions(ctx: Context, now: number): void {
	const left = [...ctx.tables.evictions.values()].filter(eviction => !isMember(ctx.tables, eviction.by));
	if (left.length === 0 || !isPlanner(ctx, members(ctx), now)) {
		return;
	}

	const ids = left.flatMap(eviction => eviction.members.filter(id => ctx.tables.instances.get(id)?.eviction === eviction.offset));
	propose(ctx, 'evict', {kind: RecordKind.Evict, members: [...new Set(ids)]});
}

function workOn(ctx: Context, eviction: EvictionRow, now: number): void {
	const work = ctx.local.evictionProgress.get(eviction.offset) ?? startWork(ctx, eviction, now);
	const needed = neededConfirmations(ctx, eviction);
	const missing = needed.filter(row => row.id !== ctx.self.id && !work.confirmed.has(row.id));
	if (missing.length > 0 && !ctx.mutations.has(Mutation.EvictWithoutConfirmations)) {
		work.confirmedAt = Infinity;
		if (now >= work.nextAskAt) {
			work.nextAskAt = now + (ctx.timing.heartbeatMs / 2);
			ask(ctx, eviction, missing);
		}

		return;
	}

	work.confirmedAt = Math.min(work.confirmedAt, now);
	if (now >= work.confirmedAt + waitMs(ctx, eviction)) {
		complete(ctx, eviction);
	}
}

function startWork(ctx: Context, eviction: EvictionRow, now: number): EvictionProgress {
	const work: EvictionProgress = {
		offset: eviction.offset, confirmed: new Set(), nextAskAt: now, confirmedAt: Infinity,
	};
	ctx.local.evictionProgress.set(eviction.offset, work);
	return work;
}

/**
 * Members that might still vouch for the evicted ones: those of their failure
 * domain; all others too when several of one domain might keep each other in
 * contact, and with them the evicted ones of another such domain. The last ones
 * confirm nothing while they are cut off, so of two domains that lost the rest
 * together neither is given up.
 */
function neededConfirmations(ctx: Context, eviction: EvictionRow): InstanceRow[] {
	const domains = new Set(eviction.members.map(id => ctx.tables.instances.get(id)?.domain ?? ''));
	if (isDeclaredLost(ctx, domains)) {
		return [];
	}

	const rows = members(ctx);
	return mayVouchForEachOther(ctx, eviction)
		? [...rows, ...unsureElsewhere(ctx, domains)]
		: rows.filter(row => domains.has(row.domain));
}

/** Evicted members of another domain that may still vouch for each other, and so answer as entitled ones. */
function unsureElsewhere(ctx: Context, domains: ReadonlySet<string>): InstanceRow[] {
	const {domainsLost} = ctx.tables.config.rules;
	const unsure = [...ctx.tables.instances.values()]
		.filter(row => row.state === InstanceState.Evicting && !domainsLost.has(row.domain));
	const isMutual = (row: InstanceRow) => unsure.some(other => other.domain === row.domain && other.id !== row.id);
	const isElsewhere = (row: InstanceRow) => [...domains].some(domain => domain !== row.domain);
	return unsure.filter(row => isMutual(row) && isElsewhere(row));
}

/** Whether the evicted ones and others whose right may still run share a failure domain. */
function mayVouchForEachOther(ctx: Context, eviction: EvictionRow): boolean {
	const evicted = eviction.members.map(id => ctx.tables.instances.get(id)).filter(row => row !== undefined);
	const domains = new Set(evicted.map(row => row.domain));
	const unsure = [...ctx.tables.instances.values()]
		.filter(row => row.state === InstanceState.Evicting && domains.has(row.domain));
	return unsure.length > domains.size;
}

function waitMs(ctx: Context, eviction: EvictionRow): number {
	if (ctx.mutations.has(Mutation.SkipRightWait)) {
		return 0;
	}

	const domains = new Set(eviction.members.map(id => ctx.tables.instances.get(id)?.domain ?? ''));
	const {rightMs, isolationMs} = ctx.timing;
	const isShort = isDeclaredLost(ctx, domains) || !mayVouchForEachOther(ctx, eviction);
	const span = isShort ? rightMs : rightMs + isolationMs;
	return withDriftMargin(span, ctx.timing);
}

function isDeclaredLost(ctx: Context, domains: ReadonlySet<string>): boolean {
	return [...domains].every(domain => ctx.tables.config.rules.domainsLost.has(domain));
}

function ask(ctx: Context, eviction: EvictionRow, missing: readonly InstanceRow[]): void {
	for (const row of missing) {
		ctx.emit({
			kind: EffectKind.Confirm, peer: row.id, addr: row.peerAddr, eviction: eviction.offset,
		});
	}
}

function complete(ctx: Context, eviction: EvictionRow): void {
	const body: RecordBody = {kind: RecordKind.Evicted, eviction: eviction.offset};
	if (propose(ctx, `evicted:${eviction.offset}`, body)) {
		const changes = orphanChanges(ctx, new Set(eviction.members));
		if (changes.length > 0) {
			propose(ctx, 'tenure', {kind: RecordKind.Tenure, changes});
		}
	}
}

function dropEndedWork(ctx: Context): void {
	for (const offset of ctx.local.evictionProgress.keys()) {
		if (!ctx.tables.evictions.has(offset)) {
			ctx.local.evictionProgress.delete(offset);
		}
	}
}
