import {
	ControlKind, encodeControl, parseControl, SnapshotReader, chunksOf,
} from '@bluebellyard/coordination';
import {
	decodeTables, EffectKind, emptyTables, encodeTables, makeRecord, Member, Mutation, RecordKind, shardKey,
	type Effect, type GrantEffect, type Tables,
} from '@bluebellyard/core';
import {OrderDispatcher} from './order-dispatcher.js';
import type {StoredPage} from './fake-log.js';
import {CallRefused} from './network.js';
import {LogClient} from './log-client.js';
import type {Rng} from './rng.js';
import type {SimulatedNode} from './simulated-node.js';
import type {SimulationContext} from './simulation-context.js';

const tickMs = 20;
const pollMs = 15;
const retryMs = 50;
const answerMs = 100;
const pageLimit = 64;
const chunkChars = 700;
const snapshotEvery = 25;

/** What a host is made with. */
export type SimulatedInstanceOptions = {
	readonly name: string;
	/** Number of the process life, unique in the cell. */
	readonly incarnation: number;
	readonly node: SimulatedNode;
	readonly context: SimulationContext;
	readonly rng: Rng;
};

/** One process life of an instance: drives a member with the fakes of a cell. */
export class SimulatedInstance {
	readonly name: string;
	readonly node: SimulatedNode;
	readonly context: SimulationContext;
	readonly log: LogClient;
	member: Member | undefined;
	readonly dispatcher: OrderDispatcher;
	private readonly incarnation: number;
	private readonly rng: Rng;
	private lives = 0;
	private snapshotOf = 0;

	constructor({name, incarnation, node: site, context: around, rng}: SimulatedInstanceOptions) {
		this.name = name;
		this.incarnation = incarnation;
		this.node = site;
		this.context = around;
		this.rng = rng;
		this.dispatcher = new OrderDispatcher(this);
		this.log = new LogClient(this, rng.fork());
		around.instances.set(name, this);
		this.load();
		this.tick();
	}

	/** Starts to leave. */
	leave(): void {
		this.member?.leave();
	}

	/** Takes in the membership list. */
	handleMembershipList(targets: Parameters<Member['applyMembershipList']>[0], instances: readonly string[]): void {
		this.member?.applyMembershipList(targets, instances);
	}

	/** Publishes a rules file over the one in force here; tells the writer what became of it. */
	publishRules(text: string, id: string, told: (isAccepted: boolean) => void): void {
		const {member, context: around} = this;
		if (member === undefined) {
			told(false);
			return;
		}

		const record = makeRecord({kind: RecordKind.Config, base: member.tables.config.offset, text}, id, 'operator');
		const isHasty = around.mutations.has(Mutation.AcceptBeforeReadBack);
		this.log.append(record, told, isHasty);
	}

	/** Writes a snapshot of the tables, one chunk after the other. */
	writeSnapshot(): void {
		const {member} = this;
		if (member === undefined) {
			return;
		}

		const {tables} = member;
		this.snapshotOf = tables.folded;
		const chunks = chunksOf({of: tables.folded, text: encodeTables(tables)}, chunkChars);
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
		this.log.call(log => log.read(0, 0), ({firstOffset: first}) => {
			this.log.call(log => log.read(first, Infinity), page => {
				this.takeLoaded(page);
			}, () => {
				this.loadFromPeer();
			});
		}, () => {
			this.loadFromPeer();
		});
	}

	private takeLoaded(page: StoredPage): void {
		const reader = new SnapshotReader();
		for (const {data} of page.records) {
			const control = parseControl(data);
			if (control?.kind === ControlKind.Snapshot) {
				reader.add(control);
			}
		}

		const newest = reader.candidates(page.firstOffset).at(0);
		if (newest === undefined && page.firstOffset > 1) {
			this.loadFromPeer();
		} else {
			this.begin(newest === undefined ? emptyTables() : decodeTables(newest.text));
		}
	}

	private loadFromPeer(): void {
		const peers = [...this.context.instances.values()].filter(host => host !== this && host.member !== undefined);
		const again = () => {
			this.node.schedule(retryMs, () => {
				this.load();
			});
		};

		if (peers.length === 0) {
			again();
			return;
		}

		const peer = this.rng.pick(peers);
		this.context.network.call({
			from: this.node,
			to: peer.node,
			timeoutMs: answerMs,
			handle: () => encodeTables(peer.member!.tables),
			onAnswer: text => {
				this.begin(decodeTables(text));
			},
			onFailure: again,
		});
	}

	private begin(tables: Tables): void {
		if (this.member === undefined) {
			this.member = this.newMember(tables);
		} else if (tables.folded > this.member.tables.folded) {
			this.member.replaceTables(tables);
			this.log.abandonPending();
		}

		this.poll();
	}

	private newMember(tables: Tables, former?: string): Member {
		this.lives += 1;
		const {name, node: site, context: around} = this;
		return new Member({
			self: {
				id: `${name}#${this.incarnation}.${this.lives}`,
				name,
				domain: site.domain,
				peerAddr: name,
				internalAddr: name,
				controlAddr: name,
			},
			former,
			timing: around.timing,
			random: () => this.rng.float(),
			tables,
			mutations: around.mutations,
		});
	}

	private tick(): void {
		const {member} = this;
		if (member !== undefined) {
			for (const effect of member.tick(this.node.now())) {
				this.context.onEffect(this, effect);
				this.node.run(() => {
					this.carryOut(member, effect);
				});
			}

			this.dispatcher.completeDrains();
		}

		this.node.schedule(tickMs * this.rng.between(0.8, 1.2), () => {
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

			this.foldPage(page, sentAt);
			this.node.schedule(pollMs, () => {
				this.poll();
			});
		}, () => {
			this.node.schedule(retryMs, () => {
				this.poll();
			});
		});
	}

	private foldPage(page: StoredPage, sentAt: number): void {
		const member = this.member!;
		for (const {offset, data} of page.records) {
			if (offset === member.tables.folded + 1) {
				this.foldOne(member, offset, data);
			}
		}

		if (page.records.length > 0) {
			this.context.checker.checkTables(this.node.name, member.tables);
		}

		if (page.nextOffset === member.tables.folded + 1) {
			member.handleLogTail(sentAt, page.nextOffset);
		}

		if (member.tables.folded - this.snapshotOf >= snapshotEvery && member.memberIds().at(0) === member.id) {
			this.writeSnapshot();
		}
	}

	private foldOne(member: Member, offset: number, data: string): void {
		const control = parseControl(data);
		if (control === undefined) {
			const result = member.fold(offset, data);
			this.context.checker.checkFold(offset, result);
			this.log.handleReadBack(result.record?.id ?? '', result.accepted);
			return;
		}

		member.skipRecord(offset);
		if (control.kind === ControlKind.Snapshot) {
			this.snapshotOf = Math.max(this.snapshotOf, control.of);
		} else {
			this.log.handleMarker(control.id);
		}
	}

	private carryOut(member: Member, effect: Effect): void {
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
				const isFolded = (peer: Member) => peer.id === effect.peer && peer.hasFolded(effect.eviction);
				this.callPeer(effect.peer, true, isFolded, isConfirmed => {
					if (isConfirmed) {
						member.handleConfirmation(effect.peer, effect.eviction);
					}
				});
				break;
			}

			case EffectKind.CheckTail: {
				this.log.call(log => log.read(0, 0), ({nextOffset: next}) => {
					member.handleLogTail(effect.sentAt, next);
				}, () => undefined);
				break;
			}

			case EffectKind.Grant: {
				this.grant(member, effect);
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
				this.member = this.newMember(member.tables, member.id);
				break;
			}

			case EffectKind.Left: {
				this.node.kill();
				this.context.instances.delete(this.name);
				break;
			}
		}
	}

	private grant(member: Member, effect: GrantEffect): void {
		const target = this.context.targets.get(effect.target);
		if (target === undefined) {
			member.handleGrantFailure(effect);
			return;
		}

		this.context.network.call({
			from: this.node,
			to: target.node,
			timeoutMs: answerMs,
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

	private callPeer<T>(id: string, mayRepeat: boolean, handle: (peer: Member, now: number) => T, done: (answer: T) => void): void {
		const peer = this.context.instances.get(id.split('#')[0]);
		if (peer === undefined) {
			return;
		}

		this.context.network.call({
			from: this.node,
			to: peer.node,
			timeoutMs: answerMs * 5,
			mayDuplicate: mayRepeat,
			handle() {
				if (peer.member === undefined) {
					throw new CallRefused('The instance is starting.');
				}

				return handle(peer.member, peer.node.now());
			},
			onAnswer: done,
		});
	}
}
