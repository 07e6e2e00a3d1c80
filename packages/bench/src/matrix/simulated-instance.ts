import {
	ControlKind, encodeControl, decodeControl, SnapshotReader, splitIntoChunks,
} from '@bluebellyard/coordination';
import {
	decodeTables, EffectKind, emptyTables, encodeTables, createRecord, Member, Mutation, RecordKind, shardKey,
	type Effect, type GrantEffect, type Tables,
} from '@bluebellyard/core';
import {OrderDispatcher} from './order-dispatcher.js';
import type {StoredPage} from './fake-log.js';
import {CallRefused} from './network.js';
import {LogClient} from './log-client.js';
import type {Rng} from './rng.js';
import type {SimulatedNode} from './simulated-node.js';
import type {SimulationContext} from './simulation-context.js';

const tickIntervalMs = 20;
const pollIntervalMs = 15;
const retryDelayMs = 50;
const answerTimeoutMs = 100;
const pageLimit = 64;
const maxChunkChars = 700;
const recordsPerSnapshot = 25;

/** Options of a `SimulatedInstance`. */
export type SimulatedInstanceOptions = {
	readonly name: string;
	/** Incarnation number, unique in the simulation. */
	readonly incarnation: number;
	readonly node: SimulatedNode;
	readonly context: SimulationContext;
	readonly rng: Rng;
};

/** One incarnation of an instance: runs a member against the simulated network, log and targets. */
export class SimulatedInstance {
	readonly name: string;
	readonly node: SimulatedNode;
	readonly context: SimulationContext;
	readonly log: LogClient;
	member: Member | undefined;
	readonly dispatcher: OrderDispatcher;
	private readonly incarnation: number;
	private readonly rng: Rng;
	private memberCount = 0;
	private snapshotOffset = 0;

	constructor({name, incarnation, node, context, rng}: SimulatedInstanceOptions) {
		this.name = name;
		this.incarnation = incarnation;
		this.node = node;
		this.context = context;
		this.rng = rng;
		this.dispatcher = new OrderDispatcher(this);
		this.log = new LogClient(this, rng.fork());
		context.instances.set(name, this);
		this.load();
		this.tick();
	}

	/** Starts a planned leave. */
	leave(): void {
		this.member?.leave();
	}

	/** Applies a new membership list. */
	handleMembershipList(targets: Parameters<Member['applyMembershipList']>[0], instances: readonly string[]): void {
		this.member?.applyMembershipList(targets, instances);
	}

	/** Publishes a rules file that replaces the one in force here; `onResult` receives whether it was accepted. */
	publishRules(text: string, id: string, onResult: (isAccepted: boolean) => void): void {
		const {member, context} = this;
		if (member === undefined) {
			onResult(false);
			return;
		}

		const record = createRecord({kind: RecordKind.Config, base: member.tables.config.offset, text}, id, 'operator');
		const shouldNotifyEarly = context.mutations.has(Mutation.AcceptBeforeReadBack);
		this.log.append(record, onResult, shouldNotifyEarly);
	}

	/** Writes a snapshot of the tables, one chunk after another. */
	writeSnapshot(): void {
		const {member} = this;
		if (member === undefined) {
			return;
		}

		const {tables} = member;
		this.snapshotOffset = tables.folded;
		const chunks = splitIntoChunks({of: tables.folded, text: encodeTables(tables)}, maxChunkChars);
		const write = (part: number) => {
			if (part < chunks.length) {
				this.context.onSnapshot(this);
				this.log.call(log => log.append(encodeControl(chunks[part])), () => {
					write(part + 1);
				}, () => undefined);
			}
		};

		write(0);
	}

	private load(): void {
		this.log.call(log => log.read(0, 0), ({firstOffset}) => {
			this.log.call(log => log.read(firstOffset, Infinity), page => {
				this.handleLoadedPage(page);
			}, () => {
				this.loadFromPeer();
			});
		}, () => {
			this.loadFromPeer();
		});
	}

	private handleLoadedPage(page: StoredPage): void {
		const reader = new SnapshotReader();
		for (const {data} of page.records) {
			const control = decodeControl(data);
			if (control?.kind === ControlKind.Snapshot) {
				reader.add(control);
			}
		}

		const newest = reader.candidates(page.firstOffset).at(0);
		if (newest === undefined && page.firstOffset > 1) {
			this.loadFromPeer();
		} else {
			this.startFrom(newest === undefined ? emptyTables() : decodeTables(newest.text));
		}
	}

	private loadFromPeer(): void {
		const peers = [...this.context.instances.values()].filter(instance => instance !== this && instance.member !== undefined);
		const retryLoad = () => {
			this.node.schedule(retryDelayMs, () => {
				this.load();
			});
		};

		if (peers.length === 0) {
			retryLoad();
			return;
		}

		const peer = this.rng.pick(peers);
		this.context.network.call({
			from: this.node,
			to: peer.node,
			timeoutMs: answerTimeoutMs,
			handle: () => encodeTables(peer.member!.tables),
			onAnswer: text => {
				this.startFrom(decodeTables(text));
			},
			onFailure: retryLoad,
		});
	}

	private startFrom(tables: Tables): void {
		if (this.member === undefined) {
			this.member = this.createMember(tables);
		} else if (tables.folded > this.member.tables.folded) {
			this.member.replaceTables(tables);
			this.log.abandonPending();
		}

		this.poll();
	}

	private createMember(tables: Tables, formerId?: string): Member {
		this.memberCount += 1;
		const {name, node, context} = this;
		return new Member({
			self: {
				id: `${name}#${this.incarnation}.${this.memberCount}`,
				name,
				domain: node.domain,
				peerAddr: name,
				internalAddr: name,
				controlAddr: name,
			},
			former: formerId,
			timing: context.timing,
			random: () => this.rng.float(),
			tables,
			mutations: context.mutations,
		});
	}

	private tick(): void {
		const {member} = this;
		if (member !== undefined) {
			for (const effect of member.tick(this.node.now())) {
				this.context.onEffect(this, effect);
				this.node.run(() => {
					this.runEffect(member, effect);
				});
			}

			this.dispatcher.completeDrains();
		}

		this.node.schedule(tickIntervalMs * this.rng.between(0.8, 1.2), () => {
			this.tick();
		});
	}

	private poll(): void {
		const {member} = this;
		if (member === undefined) {
			return;
		}

		const sentAt = this.node.now();
		const from = member.tables.folded + 1;
		this.log.call(log => log.read(from, pageLimit), page => {
			if (from < page.firstOffset) {
				this.load();
				return;
			}

			this.applyPage(page, sentAt);
			this.node.schedule(pollIntervalMs, () => {
				this.poll();
			});
		}, () => {
			this.node.schedule(retryDelayMs, () => {
				this.poll();
			});
		});
	}

	private applyPage(page: StoredPage, sentAt: number): void {
		const member = this.member!;
		for (const {offset, data} of page.records) {
			if (offset === member.tables.folded + 1) {
				this.applyRecord(member, offset, data);
			}
		}

		if (page.records.length > 0) {
			this.context.checker.checkTables(this.node.name, member.tables);
		}

		if (page.nextOffset === member.tables.folded + 1) {
			member.handleLogTail(sentAt, page.nextOffset);
		}

		if (member.tables.folded - this.snapshotOffset >= recordsPerSnapshot && member.memberIds().at(0) === member.id) {
			this.writeSnapshot();
		}
	}

	private applyRecord(member: Member, offset: number, data: string): void {
		const control = decodeControl(data);
		if (control === undefined) {
			const result = member.fold(offset, data);
			this.context.checker.checkFold(offset, result);
			this.log.handleReadBack(result.record?.id ?? '', result.accepted);
			return;
		}

		member.skipRecord(offset);
		if (control.kind === ControlKind.Snapshot) {
			this.snapshotOffset = Math.max(this.snapshotOffset, control.of);
		} else {
			this.log.handleMarker(control.id);
		}
	}

	private runEffect(member: Member, effect: Effect): void {
		switch (effect.kind) {
			case EffectKind.Append: {
				this.log.append(effect.record);
				break;
			}

			case EffectKind.Heartbeat: {
				const {id} = member;
				this.callPeer(effect.peer, true, (peer, now) => peer.answerHeartbeat(id, now), answer => {
					member.handleHeartbeatAnswer(effect, answer, this.node.now());
				});
				break;
			}

			case EffectKind.Confirm: {
				const confirm = (peer: Member) => peer.hasFolded(effect.eviction, effect.evicted) ? peer.id : undefined;
				this.callPeer(effect.peer, true, confirm, by => {
					if (by !== undefined) {
						member.handleConfirmation(effect.peer, effect.eviction, by);
					}
				});
				break;
			}

			case EffectKind.CheckTail: {
				this.log.call(log => log.read(0, 0), ({nextOffset}) => {
					member.handleLogTail(effect.sentAt, nextOffset);
				}, () => undefined);
				break;
			}

			case EffectKind.Grant: {
				this.sendGrant(member, effect);
				break;
			}

			case EffectKind.DrainShard: {
				this.dispatcher.drainShard(shardKey(effect.pool, effect.shard), () => {
					member.handleShardDrained(effect.pool, effect.shard);
				});
				break;
			}

			case EffectKind.DrainTarget: {
				this.dispatcher.drainTarget(effect.target, () => {
					member.handleTargetDrained(effect.target);
				});
				break;
			}

			case EffectKind.Resume: {
				this.dispatcher.resume(effect.shard === undefined ? effect.target : shardKey(effect.shard.pool, effect.shard.shard));
				break;
			}

			case EffectKind.Rejoin: {
				this.member = this.createMember(member.tables, member.id);
				break;
			}

			case EffectKind.Left: {
				this.node.kill();
				this.context.instances.delete(this.name);
				break;
			}
		}
	}

	private sendGrant(member: Member, effect: GrantEffect): void {
		const target = this.context.targets.get(effect.target);
		if (target === undefined) {
			member.handleGrantFailure(effect);
			return;
		}

		this.context.network.call({
			from: this.node,
			to: target.node,
			timeoutMs: answerTimeoutMs,
			mayDuplicate: true,
			handle: () => target.handleGrant(effect),
			onAnswer: answer => {
				member.handleGrantAnswer(effect, answer, this.node.now());
			},
			onFailure() {
				member.handleGrantFailure(effect);
			},
		});
	}

	private callPeer<T>(id: string, mayDuplicate: boolean, handle: (peer: Member, now: number) => T, onAnswer: (answer: T) => void): void {
		const peer = this.context.instances.get(id.split('#')[0]);
		if (peer === undefined) {
			return;
		}

		this.context.network.call({
			from: this.node,
			to: peer.node,
			timeoutMs: answerTimeoutMs * 5,
			mayDuplicate,
			handle() {
				if (peer.member === undefined) {
					throw new CallRefused('The instance has not loaded its tables yet.');
				}

				return handle(peer.member, peer.node.now());
			},
			onAnswer,
		});
	}
}
