import {InstanceState, type InstanceRow} from '../state/index.js';
import {
	isSuspected, membersOf, getMembershipView, type Context,
} from './context.js';
import {EffectKind, type HeartbeatAnswer, type HeartbeatEffect} from './effect.js';
import type {PeerRow} from './local-tables.js';

/** Members of the own failure domain that one member sends heartbeats to. */
const insidePeers = 2;

/** Members of each other failure domain that one member sends heartbeats to. */
const outsidePeers = 1;

/** Other failure domains that one member sends heartbeats to. */
const outsideDomains = 2;

/** Factor by which heartbeats to other failure domains are rarer; they only keep up the contact. */
const outsideFactor = 5;

/** Share by which the time between two heartbeats varies. */
const jitterShare = 0.1;

/** Keeps the table of peers in step with the roster and sends heartbeats. */
export function runHeartbeats(ctx: Context, now: number): void {
	const wanted = choosePeers(ctx, now);
	dropPeers(ctx, wanted);
	for (const row of wanted.values()) {
		const peer = ctx.local.peers.get(row.id) ?? addPeer(ctx, row.id, now);
		if (now >= peer.nextHeartbeatAt) {
			peer.nextHeartbeatAt = now + beatPause(ctx, row);
			peer.unanswered += 1;
			ctx.emit({
				kind: EffectKind.Heartbeat, peer: row.id, addr: row.peerAddr, sentAt: now,
			});
		}
	}

	checkTailIfNeeded(ctx, now);
}

/** Time to the next heartbeat to a member, with jitter. */
function beatPause(ctx: Context, row: InstanceRow): number {
	const factor = row.domain === ctx.self.domain ? 1 : outsideFactor;
	const jitter = 1 + ((ctx.random() - 0.5) * 2 * jitterShare);
	return ctx.timing.heartbeatMs * factor * jitter;
}

/** Starts all watches anew, after this process itself was paused. */
export function restartSilenceTimers(ctx: Context, now: number): void {
	for (const peer of ctx.local.peers.values()) {
		peer.silenceCountedFrom = now;
		peer.unanswered = 0;
	}
}

/** A heartbeat that was answered. */
export type SentHeartbeat = Pick<HeartbeatEffect, 'peer' | 'sentAt'>;

/** Takes in the answer to a heartbeat. */
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
		takeVouch(ctx, sent, answer);
	}
}

/** Failure domains, other than the own, of which this member suspects every member. */
export function silentDomains(ctx: Context, now: number): string[] {
	const silent = new Map<string, number>();
	for (const id of ctx.local.peers.keys()) {
		const domain = ctx.tables.instances.get(id)?.domain;
		if (domain !== undefined && isSuspected(ctx, id, now)) {
			silent.set(domain, (silent.get(domain) ?? 0) + 1);
		}
	}

	return getMembershipView(ctx).otherDomains.filter(domain => silent.get(domain) === membersOf(ctx, domain).length);
}

function takeVouch(ctx: Context, {peer, sentAt}: SentHeartbeat, answer: HeartbeatAnswer): void {
	const row = ctx.tables.instances.get(peer);
	// Who confirmed an eviction must not rely on the evicted one, which may not know of it.
	if (row?.state !== InstanceState.Member) {
		return;
	}

	if (row.domain !== ctx.self.domain) {
		if (answer.mayAct) {
			ctx.right.contact(sentAt);
		}

		return;
	}

	ctx.right.vouch(sentAt);
	if (answer.contactAgeMs >= 0) {
		ctx.right.peerContactAge(sentAt, answer.contactAgeMs);
	}
}

function choosePeers(ctx: Context, now: number): Map<string, InstanceRow> {
	const view = getMembershipView(ctx);
	const isUp = (row: InstanceRow) => !isSuspected(ctx, row.id, now);
	const wanted = takeNearest(view.othersByDistance(ctx.self.domain), insidePeers, isUp);
	for (const domain of view.otherDomains.slice(0, outsideDomains)) {
		wanted.push(...takeNearest(view.othersByDistance(domain), outsidePeers, isUp));
	}

	return new Map(wanted.map(row => [row.id, row]));
}

/** The first rows up to `count` that are up, and those before them that are not. */
function takeNearest(rows: readonly InstanceRow[], count: number, isUp: (row: InstanceRow) => boolean): InstanceRow[] {
	const taken: InstanceRow[] = [];
	let found = 0;
	for (const row of rows) {
		if (found >= count) {
			return taken;
		}

		taken.push(row);
		found += isUp(row) ? 1 : 0;
	}

	return taken;
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

/** Without a vouch from inside, the end of the log is the only other one. */
function checkTailIfNeeded(ctx: Context, now: number): void {
	const left = ctx.right.until() - now;
	if (left < ctx.timing.rightMs / 2 && now >= ctx.local.nextTailCheckAt) {
		ctx.local.nextTailCheckAt = now + (ctx.timing.heartbeatMs / 2);
		ctx.emit({kind: EffectKind.CheckTail, sentAt: now});
	}
}
