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
import {readMembership} from './membership-reader.js';
import {fetchNewestState} from './peer-state.js';

/** Between two ticks, in milliseconds. */
const tickMs = 20;

/** Between two reads of the membership list, in milliseconds. */
const membershipMs = 500;

/** Between two measurements of the load, in milliseconds. */
const loadMs = 5000;

/** Time after which an instance without state asks its peers, and between two such questions, in milliseconds. */
const askPeersMs = 500;

/** Between two looks at whether a snapshot is due, in milliseconds. */
const snapshotCheckMs = 1000;

/** How long a read of the log waits for records, in milliseconds. */
const logWaitMs = 1000;

/** Longest time for an answer of the log, in milliseconds. */
const logTimeoutMs = 1000;

/** Records in one read of the log. */
const logPage = 1000;

/** Time in which records for one append are gathered, in milliseconds. */
const batchMs = 2;

/** Between two markers after a lost answer, in milliseconds. */
const markerMs = 200;

/** After this time a record without a verdict is proposed again, in milliseconds. */
const appendTimeoutMs = 5000;

/** Time that a peer waits for the fold before it answers a confirmation, in milliseconds. */
const confirmWaitMs = 100;

const logger = createLogger('member');

/** Identity of a process without the id of its life. */
export type InstanceIdentity = Omit<Identity, 'id'>;

/** Addresses under which other processes reach this one. */
export type InstanceAddresses = Pick<InstanceIdentity, 'peerAddr' | 'internalAddr' | 'controlAddr'>;

/** What a host is made with. */
export type MemberHostOptions = {
	readonly self: InstanceIdentity;
	readonly timing: Timing;
	readonly logOrigin: string;
	readonly membershipOrigin: string;
	readonly clock: Clock;
	readonly random: Random;
	readonly peers: PeerClients;
	readonly counters: Counters;
	readonly connections: number;
	/** Time for which the log keeps records, in milliseconds. */
	readonly retentionMs: number;
	/** Addresses of instances to take the state from while the log is down. */
	readonly peerAddrs: readonly string[];
};

/** Runs the member of this process: ticks, log, heartbeats, grants. */
export class MemberHost {
	readonly work: TargetExecutorTable;
	/** Resolves when everything is handed over. */
	readonly left: Promise<void>;
	private current: Member;
	private self: InstanceIdentity;
	private readonly log: MeteredLog;
	private readonly follower: LogFollower<Tables>;
	private readonly appender: Appender;
	private readonly runner: EffectRunner;
	private readonly snapshots: SnapshotWriter;
	/** Whether the tables were as new as the log or a peer at some time. */
	private isCurrent = false;
	private listedPeers: readonly string[] = [];
	private isStopped = false;
	private isWoken = false;
	private measuredAt: number;
	private resolveLeft: (() => void) | undefined;
	private readonly listeners = new Set<() => void>();

	constructor(private readonly options: MemberHostOptions) {
		const {clock, timing, self} = options;
		this.self = self;
		const now = () => clock.now();
		this.measuredAt = now();
		this.left = new Promise(resolve => {
			this.resolveLeft = resolve;
		});
		const service = new HttpLogService({origin: options.logOrigin, timeoutMs: logTimeoutMs, connections: 4});
		this.log = new MeteredLog(service, options.counters, now);
		this.follower = new LogFollower({
			log: this.log,
			fold: new ClusterFold(result => {
				this.takeResult(result);
			}),
			clock,
			limit: logPage,
			waitMs: logWaitMs,
			backoff: {minMs: 20, maxMs: 500},
			seed: Math.floor(options.random() * 0x7F_FF_FF_FF),
		});
		this.current = this.newMember(this.follower.state);
		this.appender = new Appender({
			log: this.log, follower: this.follower, batchMs, markerMs, timeoutMs: appendTimeoutMs, makeId: randomUUID,
		});
		this.snapshots = new SnapshotWriter(this.log, clock, {
			everyRecords: 2000, retentionMs: options.retentionMs, chunkChars: 256 * 1024, delayMs: options.random() * 5000,
		});
		this.work = new TargetExecutorTable({member: () => this.current, now, connections: options.connections});
		this.runner = new EffectRunner({
			appender: this.appender,
			log: this.log,
			peers: options.peers,
			work: this.work,
			counters: options.counters,
			now,
			answerTimeoutMs: timing.leaseMs / 2,
			scheduleTick: () => {
				this.wake();
			},
			onEvicted: () => {
				this.rejoin();
			},
			onLeft: () => {
				this.resolveLeft?.();
			},
		});
		this.listen();
	}

	/** The member of this process life. */
	get member(): Member {
		return this.current;
	}

	/** Whether the tables were loaded, and reached the end of the log or the state of a peer. */
	get isReady(): boolean {
		return this.follower.isLoaded && this.isCurrent;
	}

	/** Offset of the last record folded. */
	get folded(): number {
		return this.follower.offset;
	}

	/** Time since the last successful read of the log, in milliseconds. */
	get logAgeMs(): number {
		return this.log.ageMs;
	}

	/** Takes the addresses that were opened; before `start`. */
	setAddresses(addrs: InstanceAddresses): void {
		this.self = {...this.self, ...addrs};
		this.current = this.newMember(this.follower.state);
	}

	/** Starts to follow the log, to tick and to read the membership list. */
	start(): void {
		this.follower.start();
		this.every(tickMs, () => {
			this.tick();
		});
		this.every(membershipMs, () => {
			void this.readList();
		});
		this.every(loadMs, () => {
			this.measureLoads();
		});
		this.every(askPeersMs, () => {
			void this.askPeers();
		}, askPeersMs);
		this.every(snapshotCheckMs, () => {
			void this.writeSnapshot();
		});
	}

	/** Hands everything over; `left` resolves when that is done. */
	leave(idsHandedOver: boolean): void {
		this.current.leave(idsHandedOver);
		this.wake();
	}

	/** Ends all activity at once. */
	async stop(): Promise<void> {
		this.isStopped = true;
		this.appender.close();
		await this.follower.stop();
		await this.log.close();
		await this.work.close();
	}

	/** Calls `listener` whenever the folded tables have changed. */
	onChange(listener: () => void): void {
		this.listeners.add(listener);
	}

	/** Whether the log is folded up to `offset`, waiting for a short time. */
	async hasFolded(offset: number): Promise<boolean> {
		const deadline = this.options.clock.now() + confirmWaitMs;
		while (!this.current.hasFolded(offset) && this.options.clock.now() < deadline) {
			// The reads of the log go on meanwhile.
			// eslint-disable-next-line no-await-in-loop
			await new Promise(resolve => {
				setTimeout(resolve, tickMs / 4);
			});
		}

		return this.current.hasFolded(offset);
	}

	/** Text form of the tables for a peer; undefined before they are loaded. */
	encodeState(): {readonly folded: number; readonly tables: string} | undefined {
		return this.isReady ? {folded: this.folded, tables: encodeTables(this.current.tables)} : undefined;
	}

	private newMember(tables: Tables, former?: string): Member {
		const {timing, random} = this.options;
		const {self} = this;
		const id = `${self.name}#${randomUUID().slice(0, 8)}`;
		return new Member({
			self: {...self, id}, former, timing, random, tables,
		});
	}

	private rejoin(): void {
		logger.warn('This instance was evicted. It joins again.', {instance: this.current.id});
		const {tables, id} = this.current;
		this.current = this.newMember(tables, id);
		this.work.prune();
		this.wake();
	}

	private listen(): void {
		this.follower.onLoad(offset => {
			this.follower.state.folded = offset;
			this.current.replaceTables(this.follower.state);
			this.changed();
		});
		this.follower.onFold(() => {
			this.changed();
			this.wake();
		});
		this.follower.onControl(offset => {
			this.current.skipRecord(offset);
		});
		this.follower.onTail(sentAt => {
			this.isCurrent = true;
			this.current.handleLogTail(sentAt, this.follower.offset + 1);
		});
		watchSnapshots(this.follower, chunk => {
			this.snapshots.observe(chunk);
		});
		this.onChange(() => {
			this.work.prune();
		});
	}

	private takeResult(result: FoldResult): void {
		countRecord(this.options.counters, result, this.current.id);
		this.current.handleFolded(result);
	}

	private changed(): void {
		for (const listener of this.listeners) {
			listener();
		}
	}

	private tick(): void {
		if (!this.follower.isLoaded || this.isStopped) {
			return;
		}

		const member = this.current;
		for (const effect of member.tick(this.options.clock.now())) {
			this.runner.run(member, effect);
		}
	}

	/** Ticks as soon as the events of this turn are handled. */
	private wake(): void {
		if (this.isWoken) {
			return;
		}

		this.isWoken = true;
		setImmediate(() => {
			this.isWoken = false;
			this.tick();
		});
	}

	private measureLoads(): void {
		const now = this.options.clock.now();
		const {rates, hotKeys} = this.work.collectLoads(now - this.measuredAt);
		this.measuredAt = now;
		this.current.applyLoads(rates, hotKeys);
	}

	private async readList(): Promise<void> {
		try {
			const {targets, instances, peerAddrs} = await readMembership(this.options.membershipOrigin);
			this.listedPeers = peerAddrs;
			this.current.applyMembershipList(targets, instances);
		} catch (err) {
			logger.debug('The membership list can not be read.', {err});
		}
	}

	/** Takes the newest state of the known peers while the log gives none. */
	private async askPeers(): Promise<void> {
		if (this.isReady) {
			return;
		}

		const {peers, peerAddrs} = this.options;
		const members = [...this.current.tables.instances.values()].map(row => row.peerAddr);
		const addrs = new Set([...peerAddrs, ...this.listedPeers, ...members]);
		addrs.delete(this.self.peerAddr);
		const found = await fetchNewestState([...addrs].map(addr => peers.get(addr)), askPeersMs);
		if (found === undefined || this.isReady) {
			return;
		}

		this.follower.adopt({offset: found.folded, state: decodeTables(found.tables)});
		this.isCurrent = true;
		logger.warn('The log can not be read. The state was taken from a peer.', {folded: this.folded});
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
			logger.warn('The snapshot could not be written.', {err});
		}
	}

	private every(ms: number, run: () => void, firstMs = 0): void {
		void periodic(ms).delay(firstMs).takeWhile(() => !this.isStopped).observe(run);
	}
}
