import {Right} from '@bluebellyard/coordination';
import {TargetState} from '../records/index.js';
import {
	emptyTables, foldData, InstanceState, isMember, type FoldResult, type Tables, type Verdict,
} from '../state/index.js';
import {
	restartSilenceTimers, runHeartbeats, silentDomains, handleHeartbeatAnswer, type SentHeartbeat,
} from './heartbeat-system.js';
import {
	isSuspected, members, proposeAgain, retryInDoubt, type Context, type Identity, type Random,
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

/** What a member is made with. */
export type MemberOptions = {
	readonly self: Identity;
	/** Former life of this process, which has stopped acting. */
	readonly former?: string;
	readonly timing: Timing;
	readonly random: Random;
	/** Tables folded so far, by a former process life or a peer. */
	readonly tables?: Tables;
	/** Deliberate breaks of the rules; none outside the fault matrix. */
	readonly mutations?: ReadonlySet<Mutation>;
};

/** Leave to send one order to a target. */
export type Permit = {
	/** Fence of the shard's ownership. */
	readonly fence: number;
	readonly tenure: number;
	/** Time of this member's clock at which the leave ends. */
	readonly until: number;
	/** End of the target's lease by the target's clock. */
	readonly targetUntil: number;
	/** The target's clock now, by the last reading. */
	readonly targetNow: number;
};

/** Gap between two ticks, in heartbeats, that counts as a pause of this process. */
const pauseBeats = 2;

/**
 * The decisions of one instance about ownership: inputs and the time go in,
 * effects come out. It does no I/O and reads no clock.
 */
export class Member {
	private readonly ctx: Context;
	private effects: Effect[] = [];
	private lastTickAt = -Infinity;
	/** End of the log seen by a read, and when that read was sent. */
	private seenTail: {readonly end: number; readonly sentAt: number} | undefined;

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
			idsHandedOver: false,
			isEvicted: false,
			emit: effect => {
				this.effects.push(effect);
			},
		};
	}

	/** Tables folded so far; read only for the caller. */
	get tables(): Tables {
		return this.ctx.tables;
	}

	/** Id of this process life. */
	get id(): string {
		return this.ctx.self.id;
	}

	/** Runs all systems once; returns what the host has to do. */
	tick(now: number): Effect[] {
		const {ctx} = this;
		if (now - this.lastTickAt > pauseBeats * ctx.timing.heartbeatMs) {
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

	/** Takes in what became of a record that was folded into this member's tables. */
	handleFolded(result: FoldResult): void {
		this.confirmTail();
		if (result.record?.by === this.ctx.self.id) {
			this.settle(result.record.id, result);
		}
	}

	/** Takes in that the record at `offset` is none of the tables' and was passed over. */
	skipRecord(offset: number): void {
		this.ctx.tables.folded = offset;
		this.confirmTail();
	}

	/** Goes on with other tables: those of a snapshot or of a peer. */
	replaceTables(tables: Tables): void {
		this.ctx.tables = tables;
		this.ctx.local.plan = undefined;
	}

	/** Takes in that a read sent at `sentAt` showed `end` as the next free offset of the log. */
	handleLogTail(sentAt: number, end: number): void {
		this.ctx.local.isLogRefusing = false;
		if (this.seenTail === undefined || sentAt > this.seenTail.sentAt) {
			this.seenTail = {end, sentAt};
		}

		this.confirmTail();
	}

	/** Takes in that a proposed record surely was not appended, or that it was rejected. */
	handleAppendRefused(recordId: string): void {
		this.ctx.local.isLogRefusing = true;
		for (const pending of this.ctx.local.pending.values()) {
			if (pending.id === recordId && pending.isInDoubt) {
				// An earlier append of it may have taken effect, so only reading tells.
				pending.retryAt = this.lastTickAt + this.ctx.timing.heartbeatMs;
				return;
			}
		}

		this.settle(recordId, {accepted: false});
	}

	/** Takes in that it can't be learnt whether a proposed record was or will be appended. */
	handleAppendInDoubt(recordId: string): void {
		for (const [matter, pending] of this.ctx.local.pending) {
			if (pending.id === recordId) {
				proposeAgain(this.ctx, matter);
			}
		}
	}

	/** Answers a heartbeat of another process life. */
	answerHeartbeat(from: string, now: number): HeartbeatAnswer {
		const {ctx} = this;
		const isKnown = ctx.tables.instances.get(from)?.state === InstanceState.Member;
		const isTrusting = ctx.mutations.has(Mutation.VouchForEvicted);
		const age = ctx.right.contactAge(now);
		return {
			instance: ctx.self.id,
			vouches: isTrusting ? true : isKnown && !ctx.isEvicted,
			mayAct: isTrusting ? true : !ctx.isEvicted && ctx.right.holds(now),
			contactAgeMs: Number.isFinite(age) ? age : -1,
			suspects: [...ctx.local.peers.keys()].filter(id => isSuspected(ctx, id, now)),
			silentDomains: silentDomains(ctx, now),
		};
	}

	/** Takes in the answer to a heartbeat. */
	handleHeartbeatAnswer(sent: SentHeartbeat, answer: HeartbeatAnswer, now: number): void {
		handleHeartbeatAnswer(this.ctx, sent, answer, now);
	}

	/** Whether this member folded the eviction; the answer to a confirmation request. */
	hasFolded(offset: number): boolean {
		return this.ctx.tables.folded >= offset;
	}

	/** Takes in that a peer folded an eviction. */
	handleConfirmation(peer: string, eviction: number): void {
		handleConfirmation(this.ctx, peer, eviction);
	}

	/** Takes in what a target answered to a grant. */
	handleGrantAnswer(effect: GrantEffect, answer: GrantAnswer, now: number): void {
		handleGrantAnswer(this.ctx, effect, answer, now);
	}

	/** Takes in that a grant was not answered in time, or could not be sent. */
	handleGrantFailure(effect: GrantEffect): void {
		handleGrantFailure(this.ctx, effect);
	}

	/** Takes in that no work is in flight on a shard being drained. */
	handleShardDrained(pool: string, shard: number): void {
		handleShardDrained(this.ctx, pool, shard);
	}

	/** Takes in that no work is in flight on a target being drained. */
	handleTargetDrained(target: string): void {
		handleTargetDrained(this.ctx, target);
	}

	/**
	 * Takes in requests a second since the last call, by `pool/shard`, for all
	 * targets of this member, and the hottest keys.
	 */
	applyLoads(rates: ReadonlyMap<string, number>, hotKeys: readonly HotKey[]): void {
		applyLoads(this.ctx, rates, hotKeys);
	}

	/** Takes in the platform's membership list, a hint. */
	applyMembershipList(targets: readonly ListedTarget[], instances: readonly string[]): void {
		this.ctx.local.listedTargets = new Map(targets.map(target => [target.name, target]));
		this.ctx.local.listedInstances = new Set(instances);
	}

	/**
	 * Starts to hand everything over in order to leave the roster. The host says
	 * whether others now keep the request ids that it kept.
	 */
	leave(idsHandedOver = false): void {
		this.ctx.idsHandedOver = idsHandedOver;
		this.ctx.isLeaving = true;
	}

	/** Time until which this member may act, by its own clock. */
	rightUntil(): number {
		return this.ctx.right.until();
	}

	/** The grant of a target of which this member is the steward. */
	getGrant(target: string): GrantRow | undefined {
		return this.ctx.local.grants.get(target);
	}

	/** Whether this member suspects the instance. */
	isSuspected(id: string, now: number): boolean {
		return isSuspected(this.ctx, id, now);
	}

	/** Members in the roster, oldest first. */
	memberIds(): string[] {
		return members(this.ctx).map(row => row.id);
	}

	/**
	 * Leave to send an order for a shard to its owner at `now`; undefined when
	 * there is none. Ask at the last moment before the write.
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
		const isLeaving = grant.isReleasePending && !ctx.mutations.has(Mutation.OrderWhileGiving);
		const isHandedOver = ctx.local.handovers.has(shardKey(row.pool, shard))
			&& !ctx.mutations.has(Mutation.MoveWithoutRelease);
		if (!isGranted || isLeaving || isHandedOver || row.steward !== ctx.self.id) {
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

	/** Whether work without a key may be sent to the target by this member. */
	maySendUnkeyed(target: string): boolean {
		const row = this.ctx.tables.targets.get(target);
		const grant = this.ctx.local.grants.get(target);
		return row?.steward === this.ctx.self.id && row.state === TargetState.Live && !grant?.isReleasePending && !this.ctx.isEvicted;
	}

	private confirmTail(): void {
		const {seenTail} = this;
		const {ctx} = this;
		if (seenTail !== undefined && ctx.tables.folded >= seenTail.end - 1 && isMember(ctx.tables, ctx.self.id)) {
			ctx.right.logConfirm(seenTail.sentAt);
			this.seenTail = undefined;
		}
	}

	private settle(recordId: string, verdict: Verdict): void {
		for (const [matter, pending] of this.ctx.local.pending) {
			if (pending.id === recordId) {
				this.ctx.local.pending.delete(matter);
				this.conclude(matter, verdict.accepted);
			}
		}
	}

	private conclude(matter: string, isAccepted: boolean): void {
		const separator = matter.indexOf(':');
		const about = separator === -1 ? matter : matter.slice(0, separator);
		const target = matter.slice(separator + 1);
		const grant = this.ctx.local.grants.get(target);
		if (about === 'give' && grant !== undefined) {
			grant.isReleasePending = false;
		}

		if (about === 'give' && !isAccepted) {
			cancelTransfer(this.ctx, target);
		}

		if (about === 'give' || about === 'move') {
			endHandovers(this.ctx, target, about === 'move');
		}
	}

	private takeEffects(): Effect[] {
		const {effects} = this;
		this.effects = [];
		return effects;
	}
}
