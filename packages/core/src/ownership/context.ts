import type {Right} from '@bluebellyard/coordination';
import {createRecord, type RecordBody} from '../records/index.js';
import {
	InstanceState, type InstanceRow, type Tables,
} from '../state/index.js';
import {EffectKind, type Effect} from './effect.js';
import type {LocalTables} from './local-tables.js';
import type {Mutation} from './mutation.js';
import {MembershipView} from './membership-view.js';
import type {Timing} from './timing.js';

/** Identity of one incarnation of an instance. */
export type Identity = {
	/** `name#incarnation`; never reused. */
	readonly id: string;
	readonly name: string;
	readonly domain: string;
	readonly peerAddr: string;
	readonly internalAddr: string;
	readonly controlAddr: string;
};

/** Seeded source of random numbers in [0, 1). */
export type Random = () => number;

/** State shared by all systems of a member. */
export type Context = {
	readonly self: Identity;
	/** Id of the former incarnation of this process, which has stopped acting. */
	readonly former: string | undefined;
	readonly timing: Timing;
	tables: Tables;
	readonly local: LocalTables;
	readonly right: Right;
	readonly random: Random;
	readonly mutations: ReadonlySet<Mutation>;
	/** Whether this member is transferring its targets in order to leave. */
	isLeaving: boolean;
	/** Whether this member has proposed the record by which it leaves; others may have folded that record already. */
	hasProposedLeave: boolean;
	/** Whether other instances have taken over the request ids that this process keeps. */
	idsHandedOver: boolean;
	/** Member of another failure domain that has all request ids of this process; empty if there is none. */
	idsHolder: string;
	/** Member that has all copies which this process kept of the ids of others; empty if there is none. */
	copiesHolder: string;
	/** Whether the log lost records that the tables include. */
	hasLostLog: boolean;
	/** Whether a record that ends this incarnation was folded. */
	isEvicted: boolean;
	membershipView?: MembershipView;
	readonly emit: (effect: Effect) => void;
};

/**
 * Proposes a record unless one on the same topic is pending.
 * Returns whether it was proposed.
 */
export function propose(ctx: Context, topic: string, body: RecordBody): boolean {
	if (ctx.local.pending.has(topic)) {
		return false;
	}

	appendRecord(ctx, topic, body, false);
	return true;
}

/**
 * Proposes a record again under a new id when the outcome of its append is
 * unknown. The preconditions in the record let only one of the two take effect.
 */
export function proposeAgain(ctx: Context, topic: string): void {
	const pending = ctx.local.pending.get(topic);
	if (pending !== undefined) {
		appendRecord(ctx, topic, pending.body, true);
	}
}

/** Proposes in-doubt records again whose last append was refused and whose retry time has come. */
export function retryInDoubt(ctx: Context, now: number): void {
	for (const [topic, pending] of ctx.local.pending) {
		if (now >= pending.retryAt) {
			proposeAgain(ctx, topic);
		}
	}
}

function appendRecord(ctx: Context, topic: string, body: RecordBody, isInDoubt: boolean): void {
	const id = `${ctx.self.id}:${Math.floor(ctx.random() * recordIdCount).toString(36)}`;
	ctx.local.pending.set(topic, {
		id, body, isInDoubt, retryAt: Infinity,
	});
	ctx.emit({kind: EffectKind.Append, record: createRecord(body, id, ctx.self.id)});
}

/** Returns whether this incarnation is a member that is not evicted. */
export function isSelfMember(ctx: Context): boolean {
	return ctx.tables.instances.get(ctx.self.id)?.state === InstanceState.Member;
}

/** Returns whether this member suspects the instance. */
export function isSuspected(ctx: Context, id: string, now: number): boolean {
	const peer = ctx.local.peers.get(id);
	if (peer === undefined) {
		return false;
	}

	const silentFor = now - Math.max(peer.lastAnswerAt, peer.silenceCountedFrom);
	const isSilent = peer.unanswered >= minUnanswered && silentFor > ctx.timing.suspectMs;
	return peer.isReplaced || isSilent;
}

/** Number of distinct record ids available to one incarnation. */
const recordIdCount = 2 ** 48;

/** Number of unanswered heartbeats before an instance may be suspected. */
const minUnanswered = 2;

/** Returns the membership view of the current tables, rebuilt when they have changed. */
export function getMembershipView(ctx: Context): MembershipView {
	if (ctx.membershipView?.isCurrent(ctx.tables) !== true) {
		ctx.membershipView = new MembershipView(ctx.tables, ctx.self.id, ctx.self.domain);
	}

	return ctx.membershipView;
}

/** Returns all members, oldest first. */
export function getMembers(ctx: Context): readonly InstanceRow[] {
	return getMembershipView(ctx).members;
}

/** Returns the members of a failure domain, oldest first. */
export function getDomainMembers(ctx: Context, domain: string): readonly InstanceRow[] {
	return getMembershipView(ctx).getDomainMembers(domain);
}

/**
 * Returns whether this member plans on behalf of the given members: it is the
 * oldest one that it does not suspect. Two members may both find so; the
 * preconditions checked by the fold then let only one succeed.
 */
export function isPlanner(ctx: Context, rows: readonly InstanceRow[], now: number): boolean {
	const oldest = rows.find(row => row.id === ctx.self.id || !isSuspected(ctx, row.id, now));
	return oldest?.id === ctx.self.id;
}
