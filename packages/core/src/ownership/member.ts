import {Right} from '@bluebellyard/coordination';
import {TargetState} from '../records/index.js';
import {
	emptyTables, foldData, InstanceState, isMember, type FoldResult, type Tables, type Verdict,
} from '../state/index.js';
import {
	restartSilenceTimers, runHeartbeats, findSilentDomains, handleHeartbeatAnswer, type SentHeartbeat,
} from './heartbeat-system.js';
import {
	isSuspected, getMembers, proposeAgain, retryInDoubt, type Context, type Identity, type Random,
} from './context.js';
import type {
	HeartbeatAnswer, Effect, GrantAnswer, GrantEffect,
} from './effect.js';
import {runEvictions, handleConfirmation} from './evict-system.js';
import {runGrants, handleGrantAnswer, handleGrantFailure} from './grant-system.js';
import {
	dropStaleHandovers, endHandovers, runHandovers, handleShardDrained,
} from './handover-system.js';
import {
	emptyLocalTables, shardKey, type GrantRow, type HotKey, type ListedTarget,
} from './local-tables.js';
import {runLoads, applyLoads} from './load-system.js';
import {Mutation} from './mutation.js';
import {checkEvicted, runMembership} from './membership-system.js';
import {cancelTransfer, runTenures, handleTargetDrained} from './tenure-system.js';
import type {Timing} from './timing.js';

/** Options of a member. */
export type MemberOptions = {
	readonly self: Identity;
	/** Id of the former incarnation of this process, which has stopped acting. */
	readonly former?: string;
	readonly timing: Timing;
	readonly random: Random;
	/** Tables already folded by a former incarnation or by a peer; empty by default. */
	readonly tables?: Tables;
	/** Deliberate violations of the protocol; none outside the fault matrix. */
	readonly mutations?: ReadonlySet<Mutation>;
};

/** Permission to send one order to a target. */
export type Permit = {
	/** Fence of the shard's ownership. */
	readonly fence: number;
	readonly tenure: number;
	/** Time on this member's clock at which the permit expires. */
	readonly until: number;
	/** End of the target's lease on the target's clock. */
	readonly targetUntil: number;
	/** Current time on the target's clock, estimated from its last reading. */
	readonly targetNow: number;
};

/** Gap between two ticks above which this process counts as paused, in heartbeat intervals. */
const pauseHeartbeats = 2;

/**
 * Ownership protocol of one instance as a state machine: it receives events and
 * the current time and returns effects. It performs no I/O and reads no clock.
 */
export class Member {
	private readonly ctx: Context;
	private effects: Effect[] = [];
	private lastTickAt = -Infinity;
	/** Next free offset of the log as seen by the latest read, and the time when that read was sent. */
	private observedTail: {readonly end: number; readonly sentAt: number} | undefined;

	constructor(options: MemberOptions) {
		const mutations = options.mutations ?? new Set<Mutation>();
		const timing = mutations.has(Mutation.SkipDriftMargin) ? {...options.timing, drift: 0} : options.timing;
		this.ctx = {
			self: options.self,
			former: options.former,
			timing,
			tables: options.tables ?? emptyTables(),
			local: emptyLocalTables(),
			right: new Right({rightMs: timing.rightMs, isolationMs: timing.isolationMs, driftShare: timing.drift}),
			random: options.random,
			mutations,
			isLeaving: false,
			hasProposedLeave: false,
			idsHandedOver: false,
			idsHolder: '',
			copiesHolder: '',
			hasLostLog: false,
			isEvicted: false,
			emit: effect => {
				this.effects.push(effect);
			},
		};
	}

	/** Tables folded so far; callers must not modify them. */
	get tables(): Tables {
		return this.ctx.tables;
	}

	/** Id of this incarnation. */
	get id(): string {
		return this.ctx.self.id;
	}

	/** Runs all systems once and returns the effects that the host must carry out. */
	tick(now: number): Effect[] {
		const {ctx} = this;
		if (ctx.hasLostLog) {
			return [];
		}

		if (now - this.lastTickAt > pauseHeartbeats * ctx.timing.heartbeatMs) {
			restartSilenceTimers(ctx, now);
		}

		this.lastTickAt = now;
		if (!checkEvicted(ctx)) {
			retryInDoubt(ctx, now);
			dropStaleHandovers(ctx);
			runMembership(ctx, now);
			if (isMember(ctx.tables, ctx.self.id)) {
				runHeartbeats(ctx, now);
				runEvictions(ctx, now);
				runTenures(ctx, now);
				runGrants(ctx, now);
				runHandovers(ctx, now);
				runLoads(ctx);
			}
		}

		return this.takeEffects();
	}

	/** Folds one record of the log. */
	fold(offset: number, data: string): FoldResult {
		const result = foldData(this.ctx.tables, offset, data);
		this.handleFolded(result);
		return result;
	}

	/** Handles the result of a record that was folded into the tables of this member. */
	handleFolded(result: FoldResult): void {
		this.confirmTail();
		if (result.record?.by === this.ctx.self.id) {
			this.removePending(result.record.id, result);
		}
	}

	/** Skips the record at `offset`, which does not concern the tables. */
	skipRecord(offset: number): void {
		this.ctx.tables.folded = offset;
		this.confirmTail();
	}

	/** Replaces the tables by those of a snapshot or a peer. */
	replaceTables(tables: Tables): void {
		this.ctx.tables = tables;
		this.ctx.local.plan = undefined;
	}

	/** Handles the answer to a read of the log sent at `sentAt`; `end` is the next free offset. */
	handleLogTail(sentAt: number, end: number): void {
		this.ctx.local.isLogRefusing = false;
		if (this.observedTail === undefined || sentAt > this.observedTail.sentAt) {
			this.observedTail = {end, sentAt};
		}

		this.confirmTail();
	}

	/** Ends this member for good: the log lost records on which its tables rest, and gives their offsets to others. */
	handleLogReset(): void {
		this.ctx.hasLostLog = true;
		this.ctx.isEvicted = true;
		this.ctx.right.recordEviction();
	}

	/** Handles a proposed record that was certainly not appended, or was rejected. */
	handleAppendRefused(recordId: string): void {
		this.ctx.local.isLogRefusing = true;
		for (const pending of this.ctx.local.pending.values()) {
			if (pending.id === recordId && pending.isInDoubt) {
				// An earlier append of the record may have taken effect; this can only be seen by reading the log.
				pending.retryAt = this.lastTickAt + this.ctx.timing.heartbeatMs;
				return;
			}
		}

		this.removePending(recordId, {accepted: false});
	}

	/** Handles a proposed record of which it is unknown whether it was or will be appended. */
	handleAppendInDoubt(recordId: string): void {
		for (const [topic, pending] of this.ctx.local.pending) {
			if (pending.id === recordId) {
				proposeAgain(this.ctx, topic);
			}
		}
	}

	/** Returns the answer to a heartbeat of another incarnation. */
	answerHeartbeat(from: string, now: number): HeartbeatAnswer {
		const {ctx} = this;
		const isKnown = ctx.tables.instances.get(from)?.state === InstanceState.Member;
		const mustVouch = ctx.mutations.has(Mutation.VouchForEvicted);
		const age = ctx.right.contactAge(now);
		return {
			instance: ctx.self.id,
			vouches: mustVouch ? true : isKnown && !ctx.isEvicted && !ctx.hasProposedLeave,
			mayAct: mustVouch ? true : !ctx.isEvicted && ctx.right.holds(now),
			contactAgeMs: Number.isFinite(age) ? age : -1,
			suspects: [...ctx.local.peers.keys()].filter(id => isSuspected(ctx, id, now)),
			silentDomains: findSilentDomains(ctx, now),
		};
	}

	/** Handles the answer to a heartbeat. */
	handleHeartbeatAnswer(sent: SentHeartbeat, answer: HeartbeatAnswer, now: number): void {
		handleHeartbeatAnswer(this.ctx, sent, answer, now);
	}

	/**
	 * Returns whether this member has folded the eviction at `offset` and counts none of `evicted` as a member;
	 * the answer to a confirmation request. The offset alone proves nothing when the log has given it out twice.
	 */
	hasFolded(offset: number, evicted: readonly string[]): boolean {
		const {hasLostLog, tables} = this.ctx;
		return !hasLostLog && tables.folded >= offset && evicted.every(id => !isMember(tables, id));
	}

	/** Handles the confirmation that an eviction was folded, from the incarnation `by` at the address of a peer. */
	handleConfirmation(peer: string, eviction: number, by: string): void {
		handleConfirmation(this.ctx, peer, eviction, by);
	}

	/** Handles the answer of a target to a grant. */
	handleGrantAnswer(effect: GrantEffect, answer: GrantAnswer, now: number): void {
		handleGrantAnswer(this.ctx, effect, answer, now);
	}

	/** Handles a grant that was not answered in time or could not be sent. */
	handleGrantFailure(effect: GrantEffect): void {
		handleGrantFailure(this.ctx, effect);
	}

	/** Handles the end of the drain of a shard: no work is in flight on it. */
	handleShardDrained(pool: string, shard: number): void {
		handleShardDrained(this.ctx, pool, shard);
	}

	/** Handles the end of the drain of a target: no work is in flight on it. */
	handleTargetDrained(target: string): void {
		handleTargetDrained(this.ctx, target);
	}

	/**
	 * Applies the requests per second since the last call, by `pool/shard`, for all
	 * targets of this member, and the hottest keys.
	 */
	applyLoads(rates: ReadonlyMap<string, number>, hotKeys: readonly HotKey[]): void {
		applyLoads(this.ctx, rates, hotKeys);
	}

	/** Applies the membership list of the platform, which is only a hint. */
	applyMembershipList(targets: readonly ListedTarget[], instances: readonly string[]): void {
		this.ctx.local.listedTargets = new Map(targets.map(target => [target.name, target]));
		this.ctx.local.listedInstances = new Set(instances);
	}

	/**
	 * Starts to transfer all targets and then leave the membership. `idsHandedOver`
	 * states whether other instances have taken over the request ids that this one kept, `idsHolder` which member of
	 * another failure domain has all ids of its own, `copiesHolder` which member has all copies that it kept of the ids of others.
	 */
	leave(idsHandedOver = false, idsHolder = '', copiesHolder = ''): void {
		this.ctx.idsHandedOver = idsHandedOver;
		this.ctx.idsHolder = idsHolder;
		this.ctx.copiesHolder = copiesHolder;
		this.ctx.isLeaving = true;
	}

	/** Records that the member named in `leave` lacks an id. */
	clearIdsHolder(): void {
		this.ctx.idsHolder = '';
	}

	/** Returns the time until which this member may act, on its own clock. */
	rightUntil(): number {
		return this.ctx.right.until();
	}

	/** Returns the grant state of a target whose steward is this member; undefined for other targets. */
	getGrant(target: string): GrantRow | undefined {
		return this.ctx.local.grants.get(target);
	}

	/** Returns whether this member suspects the instance. */
	isSuspected(id: string, now: number): boolean {
		return isSuspected(this.ctx, id, now);
	}

	/** Returns the ids of all members, oldest first. */
	memberIds(): string[] {
		return getMembers(this.ctx).map(row => row.id);
	}

	/**
	 * Returns a permit to send an order for a shard to its owner at `now`, or
	 * undefined when this member may not send it. Call it immediately before the write.
	 */
	permit(target: string, shard: number, now: number): Permit | undefined {
		const {ctx} = this;
		const row = ctx.tables.targets.get(target);
		const grant = ctx.local.grants.get(target);
		const shardRow = ctx.tables.pools.get(row?.pool ?? '')?.shards[shard];
		if (row === undefined || grant?.tenure !== row.tenure || shardRow?.owner !== target) {
			return undefined;
		}

		const isGranted = grant.granted.get(shardKey(row.pool, shard)) === shardRow.fence;
		const isReleased = grant.isReleasePending && !ctx.mutations.has(Mutation.OrderWhileGiving);
		const isHandedOver = ctx.local.handovers.has(shardKey(row.pool, shard))
			&& !ctx.mutations.has(Mutation.MoveWithoutRelease);
		if (!isGranted || isReleased || isHandedOver || row.steward !== ctx.self.id) {
			return undefined;
		}

		const until = Math.min(ctx.right.until(), grant.ackedEnd);
		if (now >= until && !ctx.mutations.has(Mutation.SkipLastCheck)) {
			return undefined;
		}

		return {
			fence: shardRow.fence,
			tenure: grant.tenure,
			until,
			targetUntil: grant.ackedUntil,
			targetNow: grant.clock!.reading + (now - grant.clock!.answeredAt),
		};
	}

	/** Returns whether this member may send work without a key to the target. */
	maySendUnkeyed(target: string): boolean {
		const row = this.ctx.tables.targets.get(target);
		const grant = this.ctx.local.grants.get(target);
		return row?.steward === this.ctx.self.id && row.state === TargetState.Live && !grant?.isReleasePending && !this.ctx.isEvicted;
	}

	private confirmTail(): void {
		const {observedTail: seenTail} = this;
		const {ctx} = this;
		if (seenTail !== undefined && ctx.tables.folded >= seenTail.end - 1 && isMember(ctx.tables, ctx.self.id)) {
			ctx.right.recordLogConfirmation(seenTail.sentAt);
			this.observedTail = undefined;
		}
	}

	private removePending(recordId: string, verdict: Verdict): void {
		for (const [topic, pending] of this.ctx.local.pending) {
			if (pending.id === recordId) {
				this.ctx.local.pending.delete(topic);
				this.handleOutcome(topic, verdict.accepted);
			}
		}
	}

	private handleOutcome(topic: string, isAccepted: boolean): void {
		const separator = topic.indexOf(':');
		const action = separator === -1 ? topic : topic.slice(0, separator);
		const target = topic.slice(separator + 1);
		const grant = this.ctx.local.grants.get(target);
		if (action === 'give' && grant !== undefined) {
			grant.isReleasePending = false;
		}

		if (action === 'give' && !isAccepted) {
			cancelTransfer(this.ctx, target);
		}

		if (action === 'give' || action === 'move') {
			endHandovers(this.ctx, target, action === 'move');
		}
	}

	private takeEffects(): Effect[] {
		const {effects} = this;
		this.effects = [];
		return effects;
	}
}
