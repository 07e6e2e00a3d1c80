import {randomUUID} from 'node:crypto';
import {
	Appender, HttpLogService, LogFollower, SnapshotWriter, watchSnapshots,
} from '@bluebellyard/coordination';
import {
	decodeTables, encodeTables, Member, type Clock, type FoldResult, type Identity, type Random, type Tables, type Timing,
} from '@bluebellyard/core';
import {periodic} from 'most';
import {ClusterFold, MeteredLog} from '../log/index.js';
import {createLogger} from '../logging/index.js';
import type {Counters} from '../metrics/index.js';
import type {PeerClients} from '../peer/index.js';
import {TargetExecutorTable} from '../work/index.js';
import {countRecord} from './count-record.js';
import {EffectRunner} from './effect-runner.js';
import {MembershipReader} from './membership-reader.js';
import {fetchNewestState} from './peer-state.js';
import {reportLogState} from './report-log-state.js';

/** Interval between two ticks. */
const tickIntervalMs = 20;

/** Interval between two reads of the membership list. */
const membershipIntervalMs = 500;

/** Interval between two measurements of the load. */
const loadIntervalMs = 5000;

/** Delay before an instance without state first asks its peers for theirs, interval between two such attempts, and timeout of each. */
const peerStateIntervalMs = 500;

/** Interval between two checks whether a snapshot is due. */
const snapshotCheckIntervalMs = 1000;

/** Longest time for which the log service holds a read open until records arrive. */
const logWaitMs = 1000;

/** Timeout of a request to the log service. */
const logTimeoutMs = 1000;

/** Largest number of records that one read of the log returns. */
const maxLogPageRecords = 1000;

/** Time during which records are collected into one append. */
const appendBatchMs = 2;

/** Interval between two marker records after the answer to an append was lost. */
const markerIntervalMs = 200;

/** Time after which a record whose outcome is not known is proposed again. */
const appendTimeoutMs = 5000;

/** Longest time to wait for the fold to reach an offset before a peer's confirmation request is answered. */
const confirmTimeoutMs = 100;

const logger = createLogger('member');

/** Identity of an instance without the id of its current incarnation. */
export type InstanceIdentity = Omit<Identity, 'id'>;

/** Addresses at which other processes reach this instance. */
export type InstanceAddresses = Pick<InstanceIdentity, 'peerAddr' | 'internalAddr' | 'controlAddr'>;

/** Options and dependencies of a `MemberHost`. */
export type MemberHostOptions = {
	readonly self: InstanceIdentity;
	readonly timing: Timing;
	readonly logOrigin: string;
	readonly membershipOrigin: string;
	readonly clock: Clock;
	readonly random: Random;
	readonly peers: PeerClients;
	readonly counters: Counters;
	/** Largest number of connections to one target. */
	readonly connections: number;
	/** Time for which the log service retains records, in milliseconds. */
	readonly retentionMs: number;
	/** Peer addresses of instances from which to fetch the state while the log is unavailable. */
	readonly peerAddrs: readonly string[];
};

/** Hosts the `Member` of this process: runs its ticks, connects it to the log and executes its effects. */
export class MemberHost {
	readonly executors: TargetExecutorTable;
	/** Resolves when everything has been handed over after `leave`. */
	readonly left: Promise<void>;
	private currentMember: Member;
	private identity: InstanceIdentity;
	/** Ids under which this process was evicted before it joined again. */
	private readonly formerIds = new Set<string>();
	private readonly log: MeteredLog;
	private readonly follower: LogFollower<Tables>;
	private readonly appender: Appender;
	private readonly effectRunner: EffectRunner;
	private readonly snapshots: SnapshotWriter;
	private readonly membershipReader: MembershipReader;
	/** Whether the tables have at some time reached the end of the log or the state of a peer. */
	private hasCaughtUp = false;
	private listedPeers: readonly string[] = [];
	private isStopped = false;
	private isTickScheduled = false;
	private loadsMeasuredAt: number;
	private resolveLeft: (() => void) | undefined;
	private readonly listeners = new Set<() => void>();

	constructor(private readonly options: MemberHostOptions) {
		const {clock, timing, self} = options;
		this.identity = self;
		const now = () => clock.now();
		this.loadsMeasuredAt = now();
		this.left = new Promise(resolve => {
			this.resolveLeft = resolve;
		});
		const service = new HttpLogService({origin: options.logOrigin, timeoutMs: logTimeoutMs, connections: 4});
		this.log = new MeteredLog(service, options.counters, now);
		this.follower = new LogFollower({
			log: this.log,
			fold: new ClusterFold(result => {
				this.handleFoldResult(result);
			}),
			clock,
			limit: maxLogPageRecords,
			waitMs: logWaitMs,
			backoff: {minMs: 20, maxMs: 500},
			seed: Math.floor(options.random() * 0x7F_FF_FF_FF),
		});
		this.currentMember = this.createMember(this.follower.state);
		this.appender = new Appender({
			log: this.log, follower: this.follower, batchMs: appendBatchMs, markerMs: markerIntervalMs, timeoutMs: appendTimeoutMs, makeId: randomUUID,
		});
		this.snapshots = new SnapshotWriter(this.log, clock, {
			everyRecords: 2000, retentionMs: options.retentionMs, chunkChars: 256 * 1024, delayMs: options.random() * 5000,
		});
		this.membershipReader = MembershipReader.forOrigin(options.membershipOrigin);
		this.executors = new TargetExecutorTable({member: () => this.currentMember, now, connections: options.connections});
		this.effectRunner = new EffectRunner({
			appender: this.appender,
			readLogEnd: async () => this.follower.readEnd(),
			peers: options.peers,
			executors: this.executors,
			counters: options.counters,
			now,
			answerTimeoutMs: timing.leaseMs / 2,
			scheduleTick: () => {
				this.scheduleTick();
			},
			onEvicted: () => {
				this.rejoin();
			},
			onLeft: () => {
				this.resolveLeft?.();
			},
		});
		this.subscribeToFollower();
	}

	/** Member of the current incarnation; replaced after an eviction. */
	get member(): Member {
		return this.currentMember;
	}

	/** Whether the tables are loaded and have reached the end of the log or the state of a peer. */
	get isReady(): boolean {
		return this.follower.isLoaded && this.hasCaughtUp;
	}

	/** Offset of the last folded record. */
	get folded(): number {
		return this.follower.offset;
	}

	/** Time since the last successful read of the log, in milliseconds. */
	get logAgeMs(): number {
		return this.log.ageMs;
	}

	/** Returns whether `id` is the id of this process now or before it joined again. */
	isOwnId(id: string): boolean {
		return id === this.currentMember.id || this.formerIds.has(id);
	}

	/** Sets the addresses that the servers listen on. Must be called before `start`. */
	setAddresses(addrs: InstanceAddresses): void {
		this.identity = {...this.identity, ...addrs};
		this.currentMember = this.createMember(this.follower.state);
	}

	/** Starts following the log, ticking, and reading the membership list. */
	start(): void {
		this.follower.start();
		this.runPeriodically(tickIntervalMs, () => {
			this.tick();
		});
		this.runPeriodically(membershipIntervalMs, () => {
			void this.updateMembershipList();
		});
		this.runPeriodically(loadIntervalMs, () => {
			this.measureLoads();
		});
		this.runPeriodically(peerStateIntervalMs, () => {
			void this.adoptPeerState();
		}, peerStateIntervalMs);
		this.runPeriodically(snapshotCheckIntervalMs, () => {
			void this.writeSnapshot();
		});
	}

	/** Starts handing everything over; `left` resolves when that is done. The parameters are those of `Member.leave`. */
	leave(idsHandedOver: boolean, idsHolder: string, copiesHolder: string): void {
		this.currentMember.leave(idsHandedOver, idsHolder, copiesHolder);
		this.scheduleTick();
	}

	/** Stops all activity at once, without a handover. */
	async stop(): Promise<void> {
		this.isStopped = true;
		this.appender.close();
		await this.follower.stop();
		await this.log.close();
		await this.executors.close();
	}

	/** Calls `listener` after every change of the folded tables. */
	onChange(listener: () => void): void {
		this.listeners.add(listener);
	}

	/** Returns whether the log is folded up to `offset` and none of `evicted` is a member; waits a short time for it. */
	async hasFolded(offset: number, evicted: readonly string[]): Promise<boolean> {
		const deadline = this.options.clock.now() + confirmTimeoutMs;
		while (!this.currentMember.hasFolded(offset, evicted) && this.options.clock.now() < deadline) {
			// The follower keeps reading the log while this waits.
			// eslint-disable-next-line no-await-in-loop
			await new Promise(resolve => {
				setTimeout(resolve, tickIntervalMs / 4);
			});
		}

		return this.currentMember.hasFolded(offset, evicted);
	}

	/** Returns the encoded tables for a peer; undefined while this instance is not ready. */
	encodeState(): {readonly folded: number; readonly tables: string} | undefined {
		return this.isReady ? {folded: this.folded, tables: encodeTables(this.currentMember.tables)} : undefined;
	}

	private createMember(tables: Tables, former?: string): Member {
		const {timing, random} = this.options;
		const {identity} = this;
		const id = `${identity.name}#${randomUUID().slice(0, 8)}`;
		return new Member({
			self: {...identity, id}, former, timing, random, tables,
		});
	}

	private rejoin(): void {
		logger.warn('This instance was evicted and joins again under a new id.', {instance: this.currentMember.id});
		const {tables, id} = this.currentMember;
		this.formerIds.add(id);
		this.currentMember = this.createMember(tables, id);
		this.executors.prune();
		this.scheduleTick();
	}

	private subscribeToFollower(): void {
		this.follower.onLoad(offset => {
			this.follower.state.folded = offset;
			this.currentMember.replaceTables(this.follower.state);
			this.notifyListeners();
		});
		this.follower.onFold(() => {
			this.notifyListeners();
			this.scheduleTick();
		});
		this.follower.onControl(offset => {
			this.currentMember.skipRecord(offset);
		});
		this.follower.onTail(sentAt => {
			this.hasCaughtUp = true;
			this.currentMember.handleLogTail(sentAt, this.follower.offset + 1);
		});
		reportLogState(this.follower);
		this.follower.onReset(err => {
			logger.error('The log lost records that this instance had read. It stops acting until it is restarted.', {instance: this.currentMember.id, folded: this.folded, err});
			this.currentMember.handleLogReset();
			this.notifyListeners();
		});
		watchSnapshots(this.follower, chunk => {
			this.snapshots.observe(chunk);
		});
		this.onChange(() => {
			this.executors.prune();
		});
	}

	private handleFoldResult(result: FoldResult): void {
		countRecord(this.options.counters, result, this.currentMember.id);
		this.currentMember.handleFolded(result);
	}

	private notifyListeners(): void {
		for (const listener of this.listeners) {
			listener();
		}
	}

	private tick(): void {
		if (!this.follower.isLoaded || this.isStopped) {
			return;
		}

		const member = this.currentMember;
		for (const effect of member.tick(this.options.clock.now())) {
			this.effectRunner.run(member, effect);
		}
	}

	/** Schedules one tick after the pending events of this event-loop turn; further calls before it have no effect. */
	private scheduleTick(): void {
		if (this.isTickScheduled) {
			return;
		}

		this.isTickScheduled = true;
		setImmediate(() => {
			this.isTickScheduled = false;
			this.tick();
		});
	}

	private measureLoads(): void {
		const now = this.options.clock.now();
		const {rates, hotKeys} = this.executors.collectLoads(now - this.loadsMeasuredAt);
		this.loadsMeasuredAt = now;
		this.currentMember.applyLoads(rates, hotKeys);
	}

	private async updateMembershipList(): Promise<void> {
		try {
			const listing = await this.membershipReader.readNewest();
			if (listing !== undefined) {
				this.listedPeers = listing.peerAddrs;
				this.currentMember.applyMembershipList(listing.targets, listing.instances);
			}
		} catch (err) {
			logger.debug('Failed to read the membership list.', {err});
		}
	}

	/** Adopts the newest state of the known peers as long as the log has not provided one. */
	private async adoptPeerState(): Promise<void> {
		if (this.isReady) {
			return;
		}

		const {peers, peerAddrs} = this.options;
		const members = [...this.currentMember.tables.instances.values()].map(row => row.peerAddr);
		const addrs = new Set([...peerAddrs, ...this.listedPeers, ...members]);
		addrs.delete(this.identity.peerAddr);
		const peerState = await fetchNewestState([...addrs].map(addr => peers.get(addr)), peerStateIntervalMs);
		if (peerState === undefined || this.isReady) {
			return;
		}

		this.follower.adopt({offset: peerState.folded, state: decodeTables(peerState.tables)});
		this.hasCaughtUp = true;
		logger.warn('The log is unavailable; adopted the state of a peer.', {folded: this.folded});
	}

	private async writeSnapshot(): Promise<void> {
		if (!this.isReady || !this.snapshots.isDue(this.follower.offset)) {
			return;
		}

		const snapshot = this.follower.encode();

		try {
			await this.snapshots.write(snapshot);
			logger.info('Snapshot written.', {of: snapshot.of});
		} catch (err) {
			logger.warn('Failed to write the snapshot.', {err});
		}
	}

	private runPeriodically(intervalMs: number, run: () => void, delayMs = 0): void {
		void periodic(intervalMs).delay(delayMs).takeWhile(() => !this.isStopped).observe(run);
	}
}
