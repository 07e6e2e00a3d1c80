import {RecordKind, type RecordBody} from '../records/index.js';
import {
	InstanceState, isMember, type EvictionRow, type InstanceRow,
} from '../state/index.js';
import {findSilentDomains} from './heartbeat-system.js';
import {
	isPlanner, isSuspected, getMembers, getDomainMembers, propose, type Context,
} from './context.js';
import {EffectKind} from './effect.js';
import type {EvictionProgress} from './local-tables.js';
import {Mutation} from './mutation.js';
import {planOrphanChanges} from './tenure-system.js';
import {withDriftMargin} from './timing.js';

/** Number of heartbeat intervals that a whole failure domain must be silent before it is evicted. */
const domainSilenceHeartbeats = 20;

/** Proposes evictions of lost instances and completes the evictions that this member proposed. */
export function runEvictions(ctx: Context, now: number): void {
	proposeOwnDomainEvictions(ctx, now);
	proposeDomainEvictions(ctx, now);
	proposeDeclaredLostEvictions(ctx, now);
	adoptEvictions(ctx, now);
	for (const eviction of ctx.tables.evictions.values()) {
		if (eviction.by === ctx.self.id) {
			advanceEviction(ctx, eviction, now);
		}
	}

	dropEndedEvictions(ctx);
}

/**
 * Records that a peer has folded an eviction, and with it all earlier records. When another
 * incarnation answered at its address, records instead that the peer has ended.
 */
export function handleConfirmation(ctx: Context, peerId: string, eviction: number, by: string): void {
	for (const {confirmed, ended} of ctx.local.evictionProgress.values()) {
		if (by === peerId) {
			confirmed.set(peerId, Math.max(eviction, confirmed.get(peerId) ?? 0));
		} else {
			ended.add(peerId);
		}
	}
}

/**
 * Proposes the eviction of members of the own failure domain that no member of
 * the domain reaches. Each member is monitored by few others only, so any member
 * that detects a loss proposes it; a second record replaces the first.
 */
function proposeOwnDomainEvictions(ctx: Context, now: number): void {
	const ownDomain = getDomainMembers(ctx, ctx.self.domain);
	const lost = ownDomain.filter(row => row.id !== ctx.self.id && isLostInOwnDomain(ctx, row, ownDomain, now));
	if (lost.length > 0) {
		propose(ctx, 'evict', {kind: RecordKind.Evict, members: lost.map(row => row.id)});
	}
}

/** Returns whether a member of the own domain is lost. The suspicion of a single observer is not enough while others can report. */
function isLostInOwnDomain(ctx: Context, row: InstanceRow, ownDomain: readonly InstanceRow[], now: number): boolean {
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

	const observers = ownDomain.filter(other => other.id !== ctx.self.id && other.id !== row.id && isReachablePeer(ctx, other, now));
	if (observers.length > 0) {
		return observers.some(other => ctx.local.peers.get(other.id)!.suspects.includes(row.id));
	}

	const silentFor = now - Math.max(peer.lastAnswerAt, peer.silenceCountedFrom);
	return silentFor > 2 * ctx.timing.suspectMs && ctx.right.holds(now);
}

/** Returns whether this member exchanges heartbeats with the other one. */
function isReachablePeer(ctx: Context, row: InstanceRow, now: number): boolean {
	return ctx.local.peers.has(row.id) && !isSuspected(ctx, row.id, now);
}

/** Proposes the eviction of a failure domain that neither this domain nor any other one reaches. */
function proposeDomainEvictions(ctx: Context, now: number): void {
	if (!isPlanner(ctx, getDomainMembers(ctx, ctx.self.domain), now)) {
		return;
	}

	for (const domain of findSilentDomains(ctx, now)) {
		const rows = getDomainMembers(ctx, domain);
		if (areAllSilent(ctx, rows, now) && otherDomainsAgree(ctx, domain, now)) {
			propose(ctx, 'evict', {kind: RecordKind.Evict, members: rows.map(row => row.id)});
		}
	}
}

function areAllSilent(ctx: Context, rows: readonly InstanceRow[], now: number): boolean {
	const minSilenceMs = domainSilenceHeartbeats * ctx.timing.heartbeatMs;
	return rows.every(row => {
		const peer = ctx.local.peers.get(row.id)!;
		return now - Math.max(peer.lastAnswerAt, peer.silenceCountedFrom) > minSilenceMs;
	});
}

/** Returns whether every remaining failure domain is reachable and also reports the silent domain as unreachable. */
function otherDomainsAgree(ctx: Context, silent: string, now: number): boolean {
	const remaining = new Set(getMembers(ctx).map(row => row.domain));
	remaining.delete(silent);
	remaining.delete(ctx.self.domain);
	for (const peer of ctx.local.peers.values()) {
		const domain = ctx.tables.instances.get(peer.id)?.domain ?? '';
		const agrees = peer.silentDomains.includes(silent) && !isSuspected(ctx, peer.id, now);
		if (agrees) {
			remaining.delete(domain);
		}
	}

	return remaining.size === 0;
}

/** Proposes the eviction of members of failure domains that operators have declared switched off. */
function proposeDeclaredLostEvictions(ctx: Context, now: number): void {
	const {domainsLost} = ctx.tables.config.rules;
	if (domainsLost.size === 0) {
		return;
	}

	const rows = getMembers(ctx);
	const lost = rows.filter(row => domainsLost.has(row.domain) && row.id !== ctx.self.id);
	const remaining = rows.filter(row => !domainsLost.has(row.domain));
	if (lost.length > 0 && isPlanner(ctx, remaining, now)) {
		propose(ctx, 'evict', {kind: RecordKind.Evict, members: lost.map(row => row.id)});
	}
}

/** Proposes unfinished evictions again whose proposer was evicted or has left. */
function adoptEvictions(ctx: Context, now: number): void {
	const unfinished = [...ctx.tables.evictions.values()].filter(eviction => !isMember(ctx.tables, eviction.by));
	if (unfinished.length === 0 || !isPlanner(ctx, getMembers(ctx), now)) {
		return;
	}

	const ids = unfinished.flatMap(eviction => eviction.members.filter(id => ctx.tables.instances.get(id)?.eviction === eviction.offset));
	propose(ctx, 'evict', {kind: RecordKind.Evict, members: [...new Set(ids)]});
}

function advanceEviction(ctx: Context, eviction: EvictionRow, now: number): void {
	const progress = ctx.local.evictionProgress.get(eviction.offset) ?? startEviction(ctx, eviction, now);
	const needed = neededConfirmations(ctx, eviction);
	const offset = offsetToConfirm(ctx, eviction);
	const missing = needed.filter(row => row.id !== ctx.self.id
		&& (progress.confirmed.get(row.id) ?? 0) < offset
		&& !(row.state === InstanceState.Evicting && progress.ended.has(row.id)));
	if (missing.length > 0 && !ctx.mutations.has(Mutation.EvictWithoutConfirmations)) {
		progress.confirmedAt = Infinity;
		if (now >= progress.nextAskAt) {
			progress.nextAskAt = now + (ctx.timing.heartbeatMs / 2);
			requestConfirmations(ctx, eviction, missing);
		}

		return;
	}

	const isMutual = mayVouchMutually(ctx, eviction);
	// An instance that has just left or come back may have vouched until now for the one that remains.
	progress.confirmedAt = progress.wasMutual && !isMutual ? now : Math.min(progress.confirmedAt, now);
	progress.wasMutual = isMutual;
	if (now >= progress.confirmedAt + rightExpiryMs(ctx, eviction)) {
		completeEviction(ctx, eviction);
	}
}

function startEviction(ctx: Context, eviction: EvictionRow, now: number): EvictionProgress {
	const progress: EvictionProgress = {
		offset: eviction.offset, confirmed: new Map(), ended: new Set(), nextAskAt: now, confirmedAt: Infinity, wasMutual: false,
	};
	ctx.local.evictionProgress.set(eviction.offset, progress);
	return progress;
}

/**
 * Returns the members that must confirm an eviction because they might still
 * vouch for the evicted instances: the members of the same failure domains. When
 * several evicted instances of one domain might keep vouching for each other, all
 * other members must confirm too, and so must evicted instances of another domain
 * that is in the same situation, unless they have ended. Those confirm nothing while they are cut off,
 * so when two domains lose contact with the rest together, neither is evicted for good.
 */
function neededConfirmations(ctx: Context, eviction: EvictionRow): InstanceRow[] {
	const domains = new Set(eviction.members.map(id => ctx.tables.instances.get(id)?.domain ?? ''));
	if (isDeclaredLost(ctx, domains)) {
		return [];
	}

	const rows = getMembers(ctx);
	return mayVouchMutually(ctx, eviction)
		? [...rows, ...evictingInOtherDomains(ctx, domains)]
		: rows.filter(row => domains.has(row.domain));
}

/** Returns evicted members of other domains that may still vouch for each other, and therefore still act as members. */
function evictingInOtherDomains(ctx: Context, domains: ReadonlySet<string>): InstanceRow[] {
	const {domainsLost} = ctx.tables.config.rules;
	const evicting = [...ctx.tables.instances.values()]
		.filter(row => row.state === InstanceState.Evicting && !domainsLost.has(row.domain));
	const isMutual = (row: InstanceRow) => evicting.some(other => other.domain === row.domain && other.id !== row.id);
	const isInOtherDomain = (row: InstanceRow) => [...domains].some(domain => domain !== row.domain);
	return evicting.filter(row => isMutual(row) && isInOtherDomain(row));
}

/**
 * Returns the offset that must be confirmed for an eviction: that of the newest eviction in its failure domains. An
 * instance that was evicted later may still pass on its contact with those that have folded the earlier eviction only.
 */
function offsetToConfirm(ctx: Context, eviction: EvictionRow): number {
	return Math.max(eviction.offset, ...evictingAround(ctx, eviction).map(row => row.eviction));
}

/** Returns whether a failure domain of the evicted instances has several instances whose right may not have expired yet. */
function mayVouchMutually(ctx: Context, eviction: EvictionRow): boolean {
	const evicting = evictingAround(ctx, eviction);
	return evicting.length > new Set(evicting.map(row => row.domain)).size;
}

/** Returns all instances of the failure domains of an eviction that are being evicted. */
function evictingAround(ctx: Context, eviction: EvictionRow): InstanceRow[] {
	const domains = new Set(eviction.members.map(id => ctx.tables.instances.get(id)?.domain ?? ''));
	return [...ctx.tables.instances.values()]
		.filter(row => row.state === InstanceState.Evicting && domains.has(row.domain));
}

function rightExpiryMs(ctx: Context, eviction: EvictionRow): number {
	if (ctx.mutations.has(Mutation.SkipRightWait)) {
		return 0;
	}

	const domains = new Set(eviction.members.map(id => ctx.tables.instances.get(id)?.domain ?? ''));
	const {rightMs, isolationMs} = ctx.timing;
	const isShort = isDeclaredLost(ctx, domains) || !mayVouchMutually(ctx, eviction);
	const span = isShort ? rightMs : rightMs + isolationMs;
	return withDriftMargin(span, ctx.timing);
}

function isDeclaredLost(ctx: Context, domains: ReadonlySet<string>): boolean {
	return [...domains].every(domain => ctx.tables.config.rules.domainsLost.has(domain));
}

function requestConfirmations(ctx: Context, eviction: EvictionRow, missing: readonly InstanceRow[]): void {
	const offset = offsetToConfirm(ctx, eviction);
	const evicted = new Set([...eviction.members, ...evictingAround(ctx, eviction).map(row => row.id)]);
	for (const row of missing) {
		ctx.emit({
			kind: EffectKind.Confirm, peer: row.id, addr: row.peerAddr, eviction: offset, evicted: [...evicted],
		});
	}
}

function completeEviction(ctx: Context, eviction: EvictionRow): void {
	const body: RecordBody = {kind: RecordKind.Evicted, eviction: eviction.offset};
	if (propose(ctx, `evicted:${eviction.offset}`, body)) {
		const changes = planOrphanChanges(ctx, new Set(eviction.members));
		if (changes.length > 0) {
			propose(ctx, 'tenure', {kind: RecordKind.Tenure, changes});
		}
	}
}

function dropEndedEvictions(ctx: Context): void {
	for (const offset of ctx.local.evictionProgress.keys()) {
		if (!ctx.tables.evictions.has(offset)) {
			ctx.local.evictionProgress.delete(offset);
		}
	}
}
