import {InstanceState, type InstanceRow} from '../state/index.js';
import {
	isSuspected, getDomainMembers, getMembershipView, type Context,
} from './context.js';
import {EffectKind, type HeartbeatAnswer, type HeartbeatEffect} from './effect.js';
import type {PeerRow} from './local-tables.js';

/** Number of members of its own failure domain that a member sends heartbeats to. */
const ownDomainPeers = 2;

/** Number of members that a member sends heartbeats to in each other failure domain that it monitors. */
const peersPerOtherDomain = 1;

/** Number of other failure domains that a member sends heartbeats to. */
const maxOtherDomains = 2;

/** Interval multiplier for heartbeats to other failure domains, which only maintain contact. */
const otherDomainIntervalFactor = 5;

/** Largest random deviation of the heartbeat interval, as a share of it. */
const jitterShare = 0.1;

/** Updates the peer table from the membership and sends the heartbeats that are due. */
export function runHeartbeats(ctx: Context, now: number): void {
	const wanted = choosePeers(ctx, now);
	dropPeers(ctx, wanted);
	for (const row of wanted.values()) {
		const peer = ctx.local.peers.get(row.id) ?? addPeer(ctx, row.id, now);
		if (now >= peer.nextHeartbeatAt) {
			peer.nextHeartbeatAt = now + heartbeatInterval(ctx, row);
			peer.unanswered += 1;
			ctx.emit({
				kind: EffectKind.Heartbeat, peer: row.id, addr: row.peerAddr, sentAt: now,
			});
		}
	}

	checkTailIfNeeded(ctx, now);
}

/** Returns the time until the next heartbeat to a member in milliseconds, with jitter. */
function heartbeatInterval(ctx: Context, row: InstanceRow): number {
	const factor = row.domain === ctx.self.domain ? 1 : otherDomainIntervalFactor;
	const jitter = 1 + ((ctx.random() - 0.5) * 2 * jitterShare);
	return ctx.timing.heartbeatMs * factor * jitter;
}

/** Restarts the silence timers of all peers after this process itself was paused, so that the pause is not taken for their silence. */
export function restartSilenceTimers(ctx: Context, now: number): void {
	for (const peer of ctx.local.peers.values()) {
		peer.silenceCountedFrom = now;
		peer.unanswered = 0;
	}
}

/** Heartbeat that an answer refers to. */
export type SentHeartbeat = Pick<HeartbeatEffect, 'peer' | 'sentAt'>;

/** Handles the answer to a heartbeat. */
export function handleHeartbeatAnswer(ctx: Context, sent: SentHeartbeat, answer: HeartbeatAnswer, now: number): void {
	const peerId = sent.peer;
	const peer = ctx.local.peers.get(peerId);
	if (peer === undefined) {
		return;
	}

	if (answer.instance !== peerId) {
		peer.isReplaced = true;
		return;
	}

	peer.lastAnswerAt = now;
	peer.unanswered = 0;
	peer.suspects = answer.suspects;
	peer.silentDomains = answer.silentDomains;
	if (answer.vouches) {
		applyVouch(ctx, sent, answer);
	}
}

/** Returns the other failure domains of which this member suspects every member. */
export function findSilentDomains(ctx: Context, now: number): string[] {
	const suspectedCounts = new Map<string, number>();
	for (const id of ctx.local.peers.keys()) {
		const domain = ctx.tables.instances.get(id)?.domain;
		if (domain !== undefined && isSuspected(ctx, id, now)) {
			suspectedCounts.set(domain, (suspectedCounts.get(domain) ?? 0) + 1);
		}
	}

	return getMembershipView(ctx).otherDomains.filter(domain => suspectedCounts.get(domain) === getDomainMembers(ctx, domain).length);
}

function applyVouch(ctx: Context, {peer, sentAt}: SentHeartbeat, answer: HeartbeatAnswer): void {
	const row = ctx.tables.instances.get(peer);
	// A member that confirmed an eviction must not rely on the evicted instance, which may not know of the eviction.
	if (row?.state !== InstanceState.Member) {
		return;
	}

	if (row.domain !== ctx.self.domain) {
		if (answer.mayAct) {
			ctx.right.recordContact(sentAt);
		}

		return;
	}

	ctx.right.recordVouch(sentAt);
	if (answer.contactAgeMs >= 0) {
		ctx.right.recordPeerContact(sentAt, answer.contactAgeMs);
	}
}

function choosePeers(ctx: Context, now: number): Map<string, InstanceRow> {
	const view = getMembershipView(ctx);
	const isReachable = (row: InstanceRow) => !isSuspected(ctx, row.id, now);
	const wanted = selectNearest(view.othersByDistance(ctx.self.domain), ownDomainPeers, isReachable);
	for (const domain of view.otherDomains.slice(0, maxOtherDomains)) {
		wanted.push(...selectNearest(view.othersByDistance(domain), peersPerOtherDomain, isReachable));
	}

	return new Map(wanted.map(row => [row.id, row]));
}

/** Returns the first `count` reachable rows together with the unreachable rows before them. */
function selectNearest(rows: readonly InstanceRow[], count: number, isReachable: (row: InstanceRow) => boolean): InstanceRow[] {
	const selected: InstanceRow[] = [];
	let found = 0;
	for (const row of rows) {
		if (found >= count) {
			return selected;
		}

		selected.push(row);
		found += isReachable(row) ? 1 : 0;
	}

	return selected;
}

function addPeer(ctx: Context, id: string, now: number): PeerRow {
	const peer: PeerRow = {
		id,
		silenceCountedFrom: now,
		lastAnswerAt: -Infinity,
		nextHeartbeatAt: now,
		unanswered: 0,
		isReplaced: false,
		suspects: [],
		silentDomains: [],
	};
	ctx.local.peers.set(id, peer);
	return peer;
}

function dropPeers(ctx: Context, wanted: ReadonlyMap<string, InstanceRow>): void {
	for (const id of ctx.local.peers.keys()) {
		if (!wanted.has(id)) {
			ctx.local.peers.delete(id);
		}
	}
}

/** Asks for a read of the log tail when the right is about to expire; that read confirms membership without a vouch from the own domain. */
function checkTailIfNeeded(ctx: Context, now: number): void {
	const left = ctx.right.until() - now;
	if (left < ctx.timing.rightMs / 2 && now >= ctx.local.nextTailCheckAt) {
		ctx.local.nextTailCheckAt = now + (ctx.timing.heartbeatMs / 2);
		ctx.emit({kind: EffectKind.CheckTail, sentAt: now});
	}
}
