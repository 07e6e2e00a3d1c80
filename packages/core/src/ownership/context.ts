import type {Right} from '@bluebellyard/coordination';
import {makeRecord, type RecordBody} from '../records/index.js';
import {
	InstanceState, type InstanceRow, type Tables,
} from '../state/index.js';
import {EffectKind, type Effect} from './effect.js';
import type {LocalTables} from './local-tables.js';
import type {Mutation} from './mutation.js';
import {MembershipView} from './membership-view.js';
import type {Timing} from './timing.js';

/** Who this process life is. */
export type Identity = {
	/** `name#incarnation`; never used again. */
	readonly id: string;
	readonly name: string;
	readonly domain: string;
	readonly peerAddr: string;
	readonly internalAddr: string;
	readonly controlAddr: string;
};

/** Source of numbers in [0, 1); seeded. */
export type Random = () => number;

/** What every system reads and writes. */
export type Context = {
	readonly self: Identity;
	/** Former life of this process, which has stopped acting. */
	readonly former: string | undefined;
	readonly timing: Timing;
	tables: Tables;
	readonly local: LocalTables;
	readonly right: Right;
	readonly random: Random;
	readonly mutations: ReadonlySet<Mutation>;
	/** Whether this member is handing everything over in order to leave. */
	isLeaving: boolean;
	/** Whether others keep the request ids that this process kept, once it leaves. */
	idsHandedOver: boolean;
	/** Whether the end of this process life was folded. */
	isEvicted: boolean;
	membershipView?: MembershipView;
	readonly emit: (effect: Effect) => void;
};

/**
 * Proposes a record unless one about the same matter is pending.
 * Returns whether it was proposed.
 */
export function propose(ctx: Context, matter: string, body: RecordBody): boolean {
	if (ctx.local.pending.has(matter)) {
		return false;
	}

	append(ctx, matter, body, false);
	return true;
}

/**
 * Proposes a record again under a new id, after it could not be learnt what
 * became of it. The conditions that it names let one of the two win.
 */
export function proposeAgain(ctx: Context, matter: string): void {
	const pending = ctx.local.pending.get(matter);
	if (pending !== undefined) {
		append(ctx, matter, pending.body, true);
	}
}

/** Proposes again the records in doubt whose last append was refused. */
export function retryInDoubt(ctx: Context, now: number): void {
	for (const [matter, pending] of ctx.local.pending) {
		if (now >= pending.retryAt) {
			proposeAgain(ctx, matter);
		}
	}
}

function append(ctx: Context, matter: string, body: RecordBody, isDoubtful: boolean): void {
	const id = `${ctx.self.id}:${Math.floor(ctx.random() * idSpace).toString(36)}`;
	ctx.local.pending.set(matter, {
		id, body, isInDoubt: isDoubtful, retryAt: Infinity,
	});
	ctx.emit({kind: EffectKind.Append, record: makeRecord(body, id, ctx.self.id)});
}

/** Whether this process life is in the roster and not evicted. */
export function isSelfMember(ctx: Context): boolean {
	return ctx.tables.instances.get(ctx.self.id)?.state === InstanceState.Member;
}

/** Whether this member suspects the instance. */
export function isSuspected(ctx: Context, id: string, now: number): boolean {
	const peer = ctx.local.peers.get(id);
	if (peer === undefined) {
		return false;
	}

	const silentFor = now - Math.max(peer.lastAnswerAt, peer.silenceCountedFrom);
	const isSilent = peer.unanswered >= minUnanswered && silentFor > ctx.timing.suspectMs;
	return peer.isReplaced || isSilent;
}

/** Number of different record ids that one process life draws from. */
const idSpace = 2 ** 48;

/** Heartbeats that must stay unanswered before an instance is suspected. */
const minUnanswered = 2;

/** The roster of the folded tables. */
export function getMembershipView(ctx: Context): MembershipView {
	if (ctx.membershipView?.isCurrent(ctx.tables) !== true) {
		ctx.membershipView = new MembershipView(ctx.tables, ctx.self.id, ctx.self.domain);
	}

	return ctx.membershipView;
}

/** Members in the roster, oldest first. */
export function members(ctx: Context): readonly InstanceRow[] {
	return getMembershipView(ctx).members;
}

/** Members of a failure domain, oldest first. */
export function membersOf(ctx: Context, domain: string): readonly InstanceRow[] {
	return getMembershipView(ctx).membersOf(domain);
}

/**
 * Whether this member plans for the given members: the oldest one that it does
 * not suspect. Two members may both think so; conditions in the fold let one win.
 */
export function isPlanner(ctx: Context, rows: readonly InstanceRow[], now: number): boolean {
	const oldest = rows.find(row => row.id === ctx.self.id || !isSuspected(ctx, row.id, now));
	return oldest?.id === ctx.self.id;
}
