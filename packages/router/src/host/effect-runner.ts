import {AppendOutcomeKind, type Appender} from '@bluebellyard/coordination';
import {
	EffectKind, encodeRecord, type HeartbeatEffect, type ConfirmEffect, type Effect, type GrantEffect, type LogRecord, type Member,
} from '@bluebellyard/core';
import {Counter, type Counters} from '../metrics/index.js';
import type {PeerClients} from '../peer/index.js';
import type {TargetExecutorTable} from '../work/index.js';

/** Dependencies of an `EffectRunner`. */
export type EffectRunnerOptions = {
	readonly appender: Appender;
	/** Reads the end of the log, the offset of the next record; rejects when the log does not answer or has lost records. */
	readonly readLogEnd: () => Promise<number>;
	readonly peers: PeerClients;
	readonly executors: TargetExecutorTable;
	readonly counters: Counters;
	readonly now: () => number;
	/** Timeout for the answer to a grant or a confirmation request, in milliseconds. */
	readonly answerTimeoutMs: number;
	/** Schedules a tick after an answer has arrived. */
	readonly scheduleTick: () => void;
	/** Called when this incarnation of the instance has been evicted and must rejoin under a new id. */
	readonly onEvicted: () => void;
	/** Called when everything has been handed over. */
	readonly onLeft: () => void;
};

/** Executes the effects that a member requests and reports their results back to it. */
export class EffectRunner {
	private readonly options: EffectRunnerOptions;

	constructor(options: EffectRunnerOptions) {
		this.options = options;
	}

	/** Executes one effect requested by `member`. */
	run(member: Member, effect: Effect): void {
		switch (effect.kind) {
			case EffectKind.Append: {
				void this.appendRecord(member, effect.record);
				break;
			}

			case EffectKind.Heartbeat: {
				this.sendHeartbeat(member, effect);
				break;
			}

			case EffectKind.Confirm: {
				void this.requestConfirmation(member, effect);
				break;
			}

			case EffectKind.CheckTail: {
				void this.readLogTail(member, effect.sentAt);
				break;
			}

			case EffectKind.Grant: {
				void this.sendGrant(member, effect);
				break;
			}

			case EffectKind.DrainShard: {
				void this.drainShard(member, effect.target, effect.pool, effect.shard);
				break;
			}

			case EffectKind.DrainTarget: {
				void this.drainTarget(member, effect.target);
				break;
			}

			case EffectKind.Resume: {
				this.options.executors.get(effect.target)?.resume(effect.shard?.shard);
				break;
			}

			case EffectKind.Rejoin: {
				this.options.onEvicted();
				break;
			}

			case EffectKind.Left: {
				this.options.onLeft();
				break;
			}
		}
	}

	private async appendRecord(member: Member, record: LogRecord): Promise<void> {
		const outcome = await this.options.appender.submit({id: record.id, data: encodeRecord(record)});
		if (outcome.kind === AppendOutcomeKind.NotSent) {
			member.handleAppendRefused(record.id);
		} else if (outcome.kind === AppendOutcomeKind.Missing || outcome.kind === AppendOutcomeKind.Unknown) {
			member.handleAppendInDoubt(record.id);
		}

		this.options.scheduleTick();
	}

	private sendHeartbeat(member: Member, effect: HeartbeatEffect): void {
		const {peers, now} = this.options;
		peers.get(effect.addr).sendHeartbeat(member.id, effect.sentAt, answer => {
			member.handleHeartbeatAnswer(effect, answer, now());
		});
	}

	private async requestConfirmation(member: Member, effect: ConfirmEffect): Promise<void> {
		const {peers, answerTimeoutMs, scheduleTick} = this.options;
		const instance = await peers.get(effect.addr).confirmEviction(effect.eviction, effect.evicted, answerTimeoutMs);
		if (instance !== undefined) {
			member.handleConfirmation(effect.peer, effect.eviction, instance);
			scheduleTick();
		}
	}

	private async readLogTail(member: Member, sentAt: number): Promise<void> {
		try {
			member.handleLogTail(sentAt, await this.options.readLogEnd());
		} catch {
			// The right expires unless another vouch arrives.
		}
	}

	private async sendGrant(member: Member, effect: GrantEffect): Promise<void> {
		const {
			executors, counters, answerTimeoutMs, now, scheduleTick,
		} = this.options;
		try {
			const answer = await executors.getClient(effect.addr).grant(effect, answerTimeoutMs, member.id);
			if (effect.incarnation !== '' && answer.incarnation !== effect.incarnation) {
				counters.count(Counter.ColdTargets);
			}

			member.handleGrantAnswer(effect, answer, now());
			executors.handleGrant(effect.target, answer, effect.sentAt);
		} catch {
			member.handleGrantFailure(effect);
		}

		scheduleTick();
	}

	private async drainShard(member: Member, target: string, pool: string, shard: number): Promise<void> {
		await this.options.executors.get(target)?.drainShard(shard);
		member.handleShardDrained(pool, shard);
		this.options.scheduleTick();
	}

	private async drainTarget(member: Member, target: string): Promise<void> {
		await this.options.executors.get(target)?.drain();
		member.handleTargetDrained(target);
		this.options.scheduleTick();
	}
}
