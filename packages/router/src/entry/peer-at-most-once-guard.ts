import {setTimeout as sleep} from 'node:timers/promises';
import {
	InstanceState, RunState, shardKey, type Clock, type InstanceRow, type Member, type RequestIdTable, type RequestRecord,
} from '@bluebellyard/core';
import {createLogger} from '../logging/index.js';
import type {RequestRecord as WireRecord} from '../peer/generated/bluebellyard/RequestRecord.js';
import type {Answer} from '../work/index.js';
import {RemovalTimes} from './removal-times.js';
import type {RequestBackups} from './request-backups.js';
import type {RequestIdPeers} from './request-id-peers.js';
import {
	backupState, AtMostOnceGuard, requestWindowMs, type RequestBackup,
} from './steward-executor.js';

/** Timeout of a call to a peer, in milliseconds. */
const callTimeoutMs = 300;

/** Number of attempts to fetch the ids of one former steward before they count as lost. */
const maxFetchAttempts = 8;

/** Delay between two such attempts, in milliseconds; all attempts together take longer than an eviction. */
const fetchRetryDelayMs = 200;

const logger = createLogger('once');

/** Dependencies of `PeerAtMostOnceGuard`. */
export type PeerAtMostOnceGuardOptions = {
	readonly member: () => Member;
	readonly peers: RequestIdPeers;
	readonly backups: RequestBackups;
	readonly ids: () => RequestIdTable<Answer>;
	readonly clock: Clock;
};

/** A shard whose owner has this instance as its steward. */
type OwnedShard = {
	/** Label under which its ids are stored. */
	readonly label: string;
	/** Fence and tenure, as `fence/tenure`. */
	readonly version: string;
	/** Former stewards that may know ids of the shard. */
	readonly formerStewards: readonly string[];
};

/** A shard that this instance has or had, with the state of fetching its ids. */
type AcquiredShard = {
	readonly label: string;
	/** Fence and tenure for which the ids were fetched. */
	readonly version: string;
	/** Resolves to the monotonic time from which all ids that still count are known, in milliseconds. */
	readonly known: Promise<number>;
};

/**
 * Stores a backup of each request id in the memory of one other instance, and fetches the
 * ids of former stewards when this instance takes over a shard. When they can't be fetched,
 * requests with unknown ids are refused until the ids of former stewards have expired.
 */
export class PeerAtMostOnceGuard extends AtMostOnceGuard {
	private readonly acquired = new Map<string, AcquiredShard>();
	private readonly removalTimes = new RemovalTimes();
	/** Member of another failure domain that has all ids of this instance, once it leaves. */
	private holder: InstanceRow | undefined;
	private copiesHolderId = '';

	constructor(private readonly options: PeerAtMostOnceGuardOptions) {
		super();
	}

	/** Id of the member that has all copies which this instance kept of the ids of others, once it leaves; empty if there is none. */
	get copiesHolder(): string {
		return this.copiesHolderId;
	}

	override async waitForFormerIds(pool: string, shard: number): Promise<void> {
		const key = shardKey(pool, shard);
		const owned = this.findOwnedShard(pool, shard);
		if (owned === undefined) {
			return;
		}

		this.fetchNewShards(new Map([[key, owned]]));
		await this.acquired.get(key)?.known;
	}

	override getLabel(pool: string, shard: number): string {
		const base = this.options.member().tables.pools.get(pool)?.shards[shard]?.base ?? shard;
		return shardKey(pool, base);
	}

	/** Resolves to whether this instance knows all ids under a label; true also when it never had a shard of the label. */
	async isComplete(label: string): Promise<boolean> {
		const same = [...this.acquired.values()].filter(acquired => acquired.label === label);
		const known = await Promise.all(same.map(async acquired => acquired.known));
		const now = this.options.clock.now();
		return known.every(since => since <= now);
	}

	/** Starts to fetch the ids of all shards that this instance has taken over since the last call. */
	fetchMissingIds(): void {
		const owned = new Map<string, OwnedShard>();
		for (const pool of this.options.member().tables.pools.values()) {
			for (const shard of pool.shards.keys()) {
				const row = this.findOwnedShard(pool.name, shard);
				if (row !== undefined) {
					owned.set(shardKey(pool.name, shard), row);
				}
			}
		}

		this.fetchNewShards(owned);
	}

	override async backUp(request: RequestBackup): Promise<boolean> {
		const {member, peers} = this.options;
		const record = {...request, state: backupState, ageMs: 0};
		if (this.holder !== undefined) {
			if (await peers.get(this.holder.peerAddr).keepRequests(member().id, [record], callTimeoutMs)) {
				return true;
			}

			this.holder = undefined;
			member().clearIdsHolder();
			logger.warn('The holder of the request ids of this instance does not answer; its ids have no copy in another failure domain.', {id: request.id});
		}

		for (const backup of this.backupInstances()) {
			// One backup is enough; the next instance is asked only when this one fails.
			// eslint-disable-next-line no-await-in-loop
			if (await peers.get(backup.peerAddr).keepRequests(member().id, [record], callTimeoutMs)) {
				return true;
			}
		}

		return this.backupInstances().length === 0;
	}

	/** Hands the stored backups over to other instances before this one leaves; resolves to whether all were stored there. */
	async handOverBackups(): Promise<boolean> {
		const copies = [...this.options.backups.closeAndExport()].filter(([, records]) => records.length > 0);
		this.copiesHolderId = await this.handOverAllTo(this.backupInstances().find(({id}) => copies.every(([instance]) => instance !== id)), copies);
		if (this.copiesHolderId !== '') {
			return true;
		}

		const calls = copies.map(async ([instance, records]) => this.handOverBackupsFor(instance, records));
		const areStored = await Promise.all(calls);
		return areStored.every(Boolean);
	}

	/**
	 * Gives all ids of this instance, and from now on those of new requests, to a member of another failure domain before
	 * this instance leaves: its successor and the instance with its backups may be the same process. Resolves to the id
	 * of that member, empty if there is none.
	 */
	async handOverOwnIds(): Promise<string> {
		const {member, peers, ids, clock} = this.options;
		const {tables, id} = member();
		const own = tables.instances.get(id)?.domain;
		const holder = this.otherMembers().find(({domain}) => domain !== own);
		if (holder === undefined) {
			return '';
		}

		this.holder = holder;
		const records = ids().exportAll(clock.now()).map(({answer, ...record}) => ({...record, attempt: ''}));
		const areStored = await peers.get(holder.peerAddr).keepRequests(id, records, callTimeoutMs);
		if (!areStored) {
			this.holder = undefined;
		}

		return this.holder?.id ?? '';
	}

	override dropBackup({id, attempt}: RequestBackup): void {
		const {member, peers} = this.options;
		for (const backup of this.holder === undefined ? this.backupInstances() : [this.holder, ...this.backupInstances()]) {
			void peers.get(backup.peerAddr).dropRequest(member().id, id, attempt, callTimeoutMs);
		}
	}

	/** Hands all copies over to one member, so that a record can name it; resolves to its id, empty if it did not store all. */
	private async handOverAllTo(holder: InstanceRow | undefined, copies: ReadonlyArray<readonly [instance: string, records: readonly WireRecord[]]>): Promise<string> {
		if (holder === undefined || copies.length === 0) {
			return '';
		}

		const peer = this.options.peers.get(holder.peerAddr);
		const areStored = await Promise.all(copies.map(async ([instance, records]) => peer.keepRequests(instance, records, callTimeoutMs)));
		return areStored.every(Boolean) ? holder.id : '';
	}

	private async handOverBackupsFor(instance: string, records: readonly WireRecord[]): Promise<boolean> {
		const {peers, member} = this.options;
		// An instance without a row was removed so long ago that its ids have expired.
		const isListed = member().tables.instances.has(instance);
		for (const backup of isListed ? this.backupInstances(instance) : []) {
			// One backup is enough.
			// eslint-disable-next-line no-await-in-loop
			if (await peers.get(backup.peerAddr).keepRequests(instance, records, callTimeoutMs)) {
				return true;
			}
		}

		return !isListed;
	}

	/** Returns the members that may store backups: those of the own failure domain, or all others when there is none. */
	private backupInstances(except = ''): InstanceRow[] {
		const current = this.options.member();
		const own = current.tables.instances.get(current.id)?.domain;
		const others = this.otherMembers().filter(({id}) => id !== except);
		const inDomain = others.filter(row => row.domain === own);
		return inDomain.length > 0 ? inDomain : others;
	}

	/** Returns the other members that are not suspected. */
	private otherMembers(): InstanceRow[] {
		const {member, clock} = this.options;
		const current = member();
		const now = clock.now();
		return [...current.tables.instances.values()]
			.filter(row => row.state === InstanceState.Member && row.id !== current.id && !current.isSuspected(row.id, now));
	}

	/** Returns the shard if this instance is the steward of its owner. */
	private findOwnedShard(pool: string, shard: number): OwnedShard | undefined {
		const {tables, id} = this.options.member();
		const row = tables.pools.get(pool)?.shards[shard];
		const target = tables.targets.get(row?.owner ?? '');
		if (row === undefined || target?.steward !== id) {
			return undefined;
		}

		const formerStewards = new Set([row.prevSteward, target.prevSteward]);
		return {
			label: this.getLabel(pool, shard),
			version: `${row.fence}/${target.tenure}`,
			formerStewards: [...formerStewards].filter(steward => steward !== '' && steward !== id),
		};
	}

	/** Fetches the ids of shards that are new to this instance, with one series of calls for each former steward. */
	private fetchNewShards(owned: ReadonlyMap<string, OwnedShard>): void {
		this.removalTimes.update(this.options.member().tables.instances, this.options.clock.now());
		const newShards = [...owned].filter(([key, {version}]) => this.acquired.get(key)?.version !== version);
		const labelsBySteward = new Map<string, string[]>();
		for (const [, {formerStewards, label}] of newShards) {
			for (const steward of formerStewards) {
				labelsBySteward.set(steward, [...labelsBySteward.get(steward) ?? [], label]);
			}
		}

		const calls = new Map([...labelsBySteward].map(([steward, labels]) => [steward, this.fetchIdsFrom(steward, labels)]));
		for (const [key, {label, version, formerStewards}] of newShards) {
			const known = this.quarantineIfLost(label, formerStewards.map(async steward => calls.get(steward)!));
			this.acquired.set(key, {label, version, known});
		}
	}

	/**
	 * Puts a shard in quarantine, so that unknown ids are refused, when ids of a former steward are lost.
	 * Resolves to the end of the quarantine as monotonic time, `-Infinity` when there is none.
	 */
	private async quarantineIfLost(label: string, calls: ReadonlyArray<Promise<boolean>>): Promise<number> {
		const results = await Promise.all(calls);
		if (results.every(Boolean)) {
			return -Infinity;
		}

		const {ids, clock} = this.options;
		const until = clock.now() + requestWindowMs;
		ids().quarantine(label, until);
		logger.warn('Request ids of a former steward are lost; requests with unknown ids are refused until the ids have expired.', {shard: label});
		return until;
	}

	/** Fetches the ids of one former steward; resolves to whether all of them are known now. */
	private async fetchIdsFrom(steward: string, labels: readonly string[]): Promise<boolean> {
		for (let attempt = 0; attempt < maxFetchAttempts; attempt += 1) {
			if (attempt > 0) {
				// A member that has just failed does not answer, and its backups are not fetched before it is evicted.
				// eslint-disable-next-line no-await-in-loop
				await sleep(fetchRetryDelayMs);
			}

			const row = this.options.member().tables.instances.get(steward);
			if (row === undefined || this.removalTimes.isRemovedBefore(steward, this.windowStart())) {
				return true;
			}

			// A busy instance may answer the next call; for an evicted one the instances with backups are asked instead.
			// eslint-disable-next-line no-await-in-loop
			if (await this.fetchFrom(row, steward, labels)) {
				return true;
			}

			// eslint-disable-next-line no-await-in-loop
			if (row.state !== InstanceState.Member && await this.fetchBackups(row, labels)) {
				return true;
			}
		}

		logger.warn('Request ids of a former steward cannot be fetched.', {steward});
		return false;
	}

	/** Fetches the ids that other instances stored for a removed steward; resolves to whether none can be missing. */
	private async fetchBackups(row: InstanceRow, labels: readonly string[]): Promise<boolean> {
		const {member, backups} = this.options;
		const otherMembers = [...member().tables.instances.values()]
			.filter(other => other.state === InstanceState.Member && other.id !== member().id);
		const answers = await Promise.all(otherMembers.map(async other => ({other, isFetched: await this.fetchFrom(other, row.id, labels)})));
		this.importRecords(labels.flatMap(label => backups.findByShard(row.id, label)));
		const holder = this.findPresentHolder(row);
		if (holder === member().id || answers.some(({other, isFetched}) => isFetched && other.id === holder)) {
			return true;
		}

		const inDomain = answers.filter(({other}) => other.domain === row.domain);
		const needed = inDomain.length > 0 && !this.mayHaveMovedBackups(row) ? inDomain : answers;
		const silent = needed.filter(({isFetched}) => !isFetched).map(({other}) => other.id);
		const lost = this.findLostHolders(row).map(({id}) => id);
		if (silent.length === 0 && lost.length === 0) {
			return true;
		}

		logger.warn('Stored request ids of a former steward may be incomplete.', {
			steward: row.id, idsHolder: row.idsHolder, holder, silent: silent.join(' '), lost: lost.join(' '), isMoved: this.mayHaveMovedBackups(row),
		});
		return false;
	}

	/** Returns the id of the member that has all ids of a removed instance: the one that it named, or the one to which that handed its copies on; empty if none is known. */
	private findPresentHolder(row: InstanceRow): string {
		const {instances} = this.options.member().tables;
		const seen = new Set([row.id]);
		let id = row.idsHolder;
		while (id !== '' && !seen.has(id)) {
			seen.add(id);
			const holder = instances.get(id);
			if (holder?.state === InstanceState.Member) {
				return id;
			}

			id = holder?.copiesHolder ?? '';
		}

		return '';
	}

	/** Returns the instances that may have stored backups for `row` and were removed without handing them over. */
	private findLostHolders(row: InstanceRow): InstanceRow[] {
		return this.findBackupHolders(row).filter(({state, idsHandedOver}) => state !== InstanceState.Member && !idsHandedOver);
	}

	/** Returns whether a removed instance may have handed backups for `row` over to any other member. */
	private mayHaveMovedBackups(row: InstanceRow): boolean {
		return this.findBackupHolders(row).some(({state, idsHandedOver}) => state !== InstanceState.Member && idsHandedOver);
	}

	/** Returns the instances that may have stored ids for `row` that still count. */
	private findBackupHolders(row: InstanceRow): InstanceRow[] {
		const windowStart = this.windowStart();
		const holders = [...this.options.member().tables.instances.values()].filter(({id, state}) =>
			id !== row.id && (state !== InstanceState.Removed || this.removalTimes.isRemovedAfter(id, windowStart)));
		const inDomain = holders.filter(({domain}) => domain === row.domain);
		return inDomain.length > 0 ? inDomain : holders;
	}

	/** Returns the monotonic time before which ended ids no longer count, in milliseconds. */
	private windowStart(): number {
		return this.options.clock.now() - requestWindowMs;
	}

	/** Fetches ids from the instance `peer`; resolves to whether this incarnation of it, not a later process at its address, has answered. */
	private async fetchFrom(peer: InstanceRow, instance: string, labels: readonly string[]): Promise<boolean> {
		const fetched = await this.options.peers.get(peer.peerAddr).fetchRequests(instance, labels, callTimeoutMs);
		this.importRecords(fetched?.records ?? []);
		return fetched?.instance === peer.id;
	}

	private importRecords(records: readonly WireRecord[]): void {
		const imported = records.map((record): RequestRecord<Answer> => ({
			id: record.id ?? '',
			shard: record.shard ?? '',
			fingerprint: record.fingerprint ?? '',
			state: record.state === RunState.Done ? RunState.Done : RunState.Unknown,
			ageMs: Number(record.ageMs ?? 0),
		}));
		if (imported.length > 0) {
			this.options.ids().importRecords(imported, this.options.clock.now());
		}
	}
}
