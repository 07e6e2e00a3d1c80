import {VerdictKind, type Appender, type LogService} from '@bluebellyard/coordination';
import {
	EffectKind, encodeRecord, type HeartbeatEffect, type ConfirmEffect, type Effect, type GrantEffect, type LogRecord, type Member,
} from '@bluebellyard/core';
import {Counter, type Counters} from '../metrics/index.js';
import type {PeerClients} from '../peer/index.js';
import type {TargetExecutorTable} from '../work/index.js';

/** What the runner works with. */
export type EffectRunnerOptions = {
	readonly appender: Appender;
	readonly log: LogService;
	readonly peers: PeerClients;
	readonly work: TargetExecutorTable;
	readonly counters: Counters;
	readonly now: () => number;
	/** Longest time for an answer to a grant or confirmation, in milliseconds. */
	readonly answerTimeoutMs: number;
	/** Calls for a tick soon after something arrived. */
	readonly scheduleTick: () => void;
	/** This process life is over for the roster. */
	readonly onEvicted: () => void;
	/** All is handed over. */
	readonly onLeft: () => void;
};

/** Carries out what a member asks for, and takes the results back to it. */
export class EffectRunner {
	private readonly options: EffectRunnerOptions;

	constructor(options: EffectRunnerOptions) {
		this.options = options;
	}

	/** Carries out one effect of `member`. */
	run(member: Member, effect: Effect): void {
		switch (effect.kind) {
			case EffectKind.Append: {
				void this.append(member, effect.record);
				break;
			}

			case EffectKind.Heartbeat: {
				this.beat(member, effect);
				break;
			}

			case EffectKind.Confirm: {
				void this.confirm(member, effect);
				break;
			}

			case EffectKind.CheckTail: {
				void this.checkTail(member, effect.sentAt);
				break;
			}

			case EffectKind.Grant: {
				void this.grant(member, effect);
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
				this.options.work.get(effect.target)?.resume(effect.shard?.shard);
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

	private async append(member: Member, record: LogRecord): Promise<void> {
		const verdict = await this.options.appender.submit({id: record.id, data: encodeRecord(record)});
		if (verdict.kind === VerdictKind.NotSent) {
			member.handleAppendRefused(record.id);
		} else if (verdict.kind === VerdictKind.Missing || verdict.kind === VerdictKind.Unknown) {
			member.handleAppendInDoubt(record.id);
		}

		this.options.scheduleTick();
	}

	private beat(member: Member, effect: HeartbeatEffect): void {
		const {peers, now} = this.options;
		peers.get(effect.addr).sendHeartbeat(member.id, effect.sentAt, answer => {
			member.handleHeartbeatAnswer(effect, answer, now());
		});
	}

	private async confirm(member: Member, effect: ConfirmEffect): Promise<void> {
		const {peers, answerTimeoutMs: answerMs, scheduleTick: wake} = this.options;
		const instance = await peers.get(effect.addr).confirmEviction(effect.eviction, answerMs);
		if (instance === effect.peer) {
			member.handleConfirmation(effect.peer, effect.eviction);
			wake();
		}
	}

	private async checkTail(member: Member, sentAt: number): Promise<void> {
		try {
			const page = await this.options.log.read(member.tables.folded + 1, 1, 0);
			member.handleLogTail(sentAt, page.next);
		} catch {
			// The right runs out unless another vouch comes.
		}
	}

	private async grant(member: Member, effect: GrantEffect): Promise<void> {
		const {
			work, counters, answerTimeoutMs: answerMs, now, scheduleTick: wake,
		} = this.options;
		try {
			const answer = await work.getClient(effect.addr).grant(effect, answerMs, member.id);
			if (effect.incarnation !== '' && answer.incarnation !== effect.incarnation) {
				counters.count(Counter.ColdTargets);
			}

			member.handleGrantAnswer(effect, answer, now());
			work.handleGrant(effect.target, answer, effect.sentAt);
		} catch {
			member.handleGrantFailure(effect);
		}

		wake();
	}

	private async drainShard(member: Member, target: string, pool: string, shard: number): Promise<void> {
		await this.options.work.get(target)?.drainShard(shard);
		member.handleShardDrained(pool, shard);
		this.options.scheduleTick();
	}

	private async drainTarget(member: Member, target: string): Promise<void> {
		await this.options.work.get(target)?.drain();
		member.handleTargetDrained(target);
		this.options.scheduleTick();
	}
}
