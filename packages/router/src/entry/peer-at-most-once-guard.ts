import {setTimeout as delay} from 'node:timers/promises';
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
} from './steward-queue.js';

/** Longest time for a call to a peer, in milliseconds. */
const callMs = 300;

/** Calls for the ids of one former steward before they count as lost. */
const fetchTries = 8;

/** Between two such calls in milliseconds; together longer than an eviction takes. */
const fetchPauseMs = 200;

const logger = createLogger('once');

/** What the guard works with. */
export type PeerAtMostOnceGuardOptions = {
	readonly member: () => Member;
	readonly peers: RequestIdPeers;
	readonly backups: RequestBackups;
	readonly ids: () => RequestIdTable<Answer>;
	readonly clock: Clock;
};

/** A shard of which this instance is the steward. */
type OwnedShard = {
	/** Name under which its ids are kept. */
	readonly label: string;
	/** Fence and tenure. */
	readonly version: string;
	/** Former stewards that may know ids. */
	readonly sources: readonly string[];
};

/** What is known of the ids of a shard that this instance has or had. */
type Acquired = {
	readonly label: string;
	/** Fence and tenure for which the ids are known. */
	readonly version: string;
	/** Resolves to the time of this clock from which all ids that still count are known. */
	readonly known: Promise<number>;
};

/**
 * Keeps request ids in the memory of one other instance, and fetches those of
 * former stewards when a shard comes to this instance. Where they can't be
 * had, repeats of unknown ids are refused for the whole window.
 */
export class PeerAtMostOnceGuard extends AtMostOnceGuard {
	private readonly acquired = new Map<string, Acquired>();
	private readonly departures = new RemovalTimes();

	constructor(private readonly options: PeerAtMostOnceGuardOptions) {
		super();
	}

	override async waitForFormerIds(pool: string, shard: number): Promise<void> {
		const key = shardKey(pool, shard);
		const owned = this.owned(pool, shard);
		if (owned === undefined) {
			return;
		}

		this.acquire(new Map([[key, owned]]));
		await this.acquired.get(key)?.known;
	}

	override getLabel(pool: string, shard: number): string {
		const base = this.options.member().tables.pools.get(pool)?.shards[shard]?.base ?? shard;
		return shardKey(pool, base);
	}

	/** Whether this instance knows all ids under a label, or never had its shards. */
	async isComplete(label: string): Promise<boolean> {
		const same = [...this.acquired.values()].filter(acquired => acquired.label === label);
		const known = await Promise.all(same.map(async acquired => acquired.known));
		const now = this.options.clock.now();
		return known.every(since => since <= now);
	}

	/** Fetches the ids of all shards that came to this instance. */
	fetchMissingIds(): void {
		const owned = new Map<string, OwnedShard>();
		for (const pool of this.options.member().tables.pools.values()) {
			for (const shard of pool.shards.keys()) {
				const row = this.owned(pool.name, shard);
				if (row !== undefined) {
					owned.set(shardKey(pool.name, shard), row);
				}
			}
		}

		this.acquire(owned);
	}

	override async backUp(request: RequestBackup): Promise<boolean> {
		const {member, peers} = this.options;
		const record = {...request, state: backupState, ageMs: 0};
		for (const keeper of this.keepers()) {
			// One keeper is enough; the next is asked only when it fails.
			// eslint-disable-next-line no-await-in-loop
			if (await peers.get(keeper.peerAddr).keepRequests(member().id, [record], callMs)) {
				return true;
			}
		}

		return this.keepers().length === 0;
	}

	/** Has others keep what this instance kept, before it leaves; whether all of it was taken. */
	async handOverBackups(): Promise<boolean> {
		const calls = [...this.options.backups.closeAndExport()]
			.filter(([, records]) => records.length > 0)
			.map(async ([instance, records]) => this.handOverOne(instance, records));
		const taken = await Promise.all(calls);
		return taken.every(Boolean);
	}

	override dropBackup({id, attempt}: RequestBackup): void {
		const {member, peers} = this.options;
		for (const keeper of this.keepers()) {
			void peers.get(keeper.peerAddr).dropRequest(member().id, id, attempt, callMs);
		}
	}

	private async handOverOne(instance: string, records: readonly WireRecord[]): Promise<boolean> {
		const {peers, member} = this.options;
		// What was kept for one that is gone for long has aged out.
		const isOwnerHere = member().tables.instances.has(instance);
		for (const keeper of isOwnerHere ? this.keepers(instance) : []) {
			// One keeper is enough.
			// eslint-disable-next-line no-await-in-loop
			if (await peers.get(keeper.peerAddr).keepRequests(instance, records, callMs)) {
				return true;
			}
		}

		return !isOwnerHere;
	}

	/** Members that may keep ids, those of the own failure domain first. */
	private keepers(except = ''): InstanceRow[] {
		const {member, clock} = this.options;
		const current = member();
		const now = clock.now();
		const own = current.tables.instances.get(current.id)?.domain;
		const others = [...current.tables.instances.values()]
			.filter(row => row.state === InstanceState.Member && row.id !== current.id && row.id !== except && !current.isSuspected(row.id, now));
		const inside = others.filter(row => row.domain === own);
		return inside.length > 0 ? inside : others;
	}

	/** The shard if this instance is the steward of its owner. */
	private owned(pool: string, shard: number): OwnedShard | undefined {
		const {tables, id} = this.options.member();
		const row = tables.pools.get(pool)?.shards[shard];
		const target = tables.targets.get(row?.owner ?? '');
		if (row === undefined || target?.steward !== id) {
			return undefined;
		}

		const sources = new Set([row.prevSteward, target.prevSteward]);
		return {
			label: this.getLabel(pool, shard),
			version: `${row.fence}/${target.tenure}`,
			sources: [...sources].filter(source => source !== '' && source !== id),
		};
	}

	/** Fetches the ids of shards that are new to this instance, with one call for each former steward. */
	private acquire(owned: ReadonlyMap<string, OwnedShard>): void {
		this.departures.update(this.options.member().tables.instances, this.options.clock.now());
		const fresh = [...owned].filter(([key, {version}]) => this.acquired.get(key)?.version !== version);
		const bySource = new Map<string, string[]>();
		for (const [, {sources, label}] of fresh) {
			for (const source of sources) {
				bySource.set(source, [...bySource.get(source) ?? [], label]);
			}
		}

		const calls = new Map([...bySource].map(([source, keys]) => [source, this.fetchFrom(source, keys)]));
		for (const [key, {label, version, sources}] of fresh) {
			const known = this.conclude(label, sources.map(async source => calls.get(source)!));
			this.acquired.set(key, {label, version, known});
		}
	}

	/** Refuses unknown repeats on a shard where ids of a former steward are lost. */
	private async conclude(key: string, calls: ReadonlyArray<Promise<boolean>>): Promise<number> {
		const found = await Promise.all(calls);
		if (found.every(Boolean)) {
			return -Infinity;
		}

		const {ids, clock} = this.options;
		const until = clock.now() + requestWindowMs;
		ids().quarantine(key, until);
		logger.warn('Request ids of a former steward are lost. Unknown repeats are refused for a while.', {shard: key});
		return until;
	}

	/** Fetches the ids of one former steward; whether all of them are known now. */
	private async fetchFrom(source: string, keys: readonly string[]): Promise<boolean> {
		for (let tries = 0; tries < fetchTries; tries += 1) {
			if (tries > 0) {
				// A member that was just lost does not answer until it is evicted.
				// eslint-disable-next-line no-await-in-loop
				await delay(fetchPauseMs);
			}

			const row = this.options.member().tables.instances.get(source);
			if (row === undefined || this.departures.isRemovedBefore(source, this.oldest())) {
				return true;
			}

			// A busy instance may answer the next call; an evicted one is asked after.
			// eslint-disable-next-line no-await-in-loop
			if (await this.fetch(row, source, keys)) {
				return true;
			}

			// eslint-disable-next-line no-await-in-loop
			if (row.state !== InstanceState.Member && await this.fetchKept(row, keys)) {
				return true;
			}
		}

		logger.warn('Request ids of a former steward can not be had.', {steward: source});
		return false;
	}

	/** Fetches the ids that others kept for a steward that is gone. */
	private async fetchKept(row: InstanceRow, keys: readonly string[]): Promise<boolean> {
		const {member, backups: kept} = this.options;
		const others = [...member().tables.instances.values()]
			.filter(other => other.state === InstanceState.Member && other.id !== member().id);
		const answers = await Promise.all(others.map(async other => ({other, isFetched: await this.fetch(other, row.id, keys)})));
		this.take(keys.flatMap(key => kept.findByShard(row.id, key)));
		const inside = answers.filter(({other}) => other.domain === row.domain);
		const needed = inside.length > 0 && !this.mayBeAnywhere(row) ? inside : answers;
		return needed.every(({isFetched}) => isFetched) && !this.mayHaveLostKeeper(row);
	}

	/** Whether an instance that may have kept ids for `row` went away with them. */
	private mayHaveLostKeeper(row: InstanceRow): boolean {
		return this.formerKeepers(row).some(({state, idsHandedOver}) => state !== InstanceState.Member && !idsHandedOver);
	}

	/** Whether a keeper that left may have handed ids for `row` to any other member. */
	private mayBeAnywhere(row: InstanceRow): boolean {
		return this.formerKeepers(row).some(({state, idsHandedOver}) => state !== InstanceState.Member && idsHandedOver);
	}

	/** Instances that may have kept ids for `row` that still count. */
	private formerKeepers(row: InstanceRow): InstanceRow[] {
		const oldest = this.oldest();
		const keepers = [...this.options.member().tables.instances.values()].filter(({id, state}) =>
			id !== row.id && (state === InstanceState.Member || this.departures.isRemovedAfter(id, oldest)));
		const inside = keepers.filter(({domain}) => domain === row.domain);
		return inside.length > 0 ? inside : keepers;
	}

	/** Ids that ended before this time of the clock no longer count. */
	private oldest(): number {
		return this.options.clock.now() - requestWindowMs;
	}

	private async fetch(from: InstanceRow, source: string, keys: readonly string[]): Promise<boolean> {
		const records = await this.options.peers.get(from.peerAddr).fetchRequests(source, keys, callMs);
		this.take(records ?? []);
		return records !== undefined;
	}

	private take(records: readonly WireRecord[]): void {
		const taken = records.map((record): RequestRecord<Answer> => ({
			id: record.id ?? '',
			shard: record.shard ?? '',
			fingerprint: record.fingerprint ?? '',
			state: record.state === RunState.Done ? RunState.Done : RunState.Unknown,
			ageMs: Number(record.ageMs ?? 0),
		}));
		if (taken.length > 0) {
			this.options.ids().importRecords(taken, this.options.clock.now());
		}
	}
}
