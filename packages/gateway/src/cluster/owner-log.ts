/**
 * Leader and key owners as the gateway stores them in the platform's store.
 * Every write states the end of the topic on which it was decided, so the
 * writes of an instance that lost leadership are rejected.
 */
import {z} from 'zod';
import {fencingToken, OwnershipMap, type RangeOwnership} from '@bluebellyard/core';
import {
	StaleAppendError, UnknownAppendError, type KeyedLog, type KeyedListing, type TopicEnd,
} from '../ports/index.js';
import {leaderRecordSchema, type LeaderRecord, type Leadership} from './leader-record.js';

/** Topic that holds the leader and the owners. */
const topic = 'keyed.bluebellyard-owners';

const leaderKey = 'leader';
const mapKeyPrefix = 'keys/';

/** Era of a store that has never returned from a copy. */
const firstEra = 1;

/** Owners of a service as recorded by a leader. */
export type OwnersRecord = Leadership & {
	readonly map: OwnershipMap;
};

/** Content of the topic. */
export type OwnerState = TopicEnd & {
	readonly leader: LeaderRecord | undefined;
	/** Owners by service. */
	readonly owners: ReadonlyMap<string, OwnersRecord>;
};

/** A former owner as `[owner, its fence]`, with a third item if it had answered all grants. */
const formerSchema = z.union([z.tuple([z.string(), z.number().int(), z.literal(1)]), z.tuple([z.string(), z.number().int()])]);

/** A range with its owner as `[from, to, owner, fence, [former owner, ...]]`. */
const rangeSchema = z.tuple([
	z.number().int(),
	z.number().int(),
	z.string(),
	z.number().int(),
	z.array(formerSchema),
]);

const rangesSchema = z.array(rangeSchema).min(1);

/** Versions that did not know the era stored the ranges only. */
const ownersSchema = z.union([
	z.object({era: z.number().int(), term: z.number().int(), ranges: rangesSchema}),
	rangesSchema.transform(ranges => ({era: 0, term: 0, ranges})),
]);

/**
 * Reads and writes the topic. Calls are executed one after the other. Errors are those of `KeyedLog`; a record that
 * was written in another era than the one it was decided in counts as an unknown outcome.
 */
export class OwnerLog {
	private readonly log: KeyedLog;
	/** End of the topic after the last record on which writes may be decided. */
	private known: TopicEnd = {era: 0, end: 0};
	private lastCall: Promise<unknown> = Promise.resolve();

	constructor(log: KeyedLog) {
		this.log = log;
	}

	/** Newest era that any answer of the store has stated. */
	get newestEra(): number {
		return this.log.newestEra;
	}

	/** Reads the whole topic. Writes are still decided on what was known before, until `adopt`. */
	async read(): Promise<OwnerState> {
		return this.serialize(async () => decode(await this.log.list(topic)));
	}

	/** Decides writes on a state that was read; only for the leader that it names. */
	adopt({era, end}: OwnerState): void {
		this.known = {era, end};
	}

	/** Returns whether the topic still ends, in the same era, where the last write or adopted state left it. */
	async isUnchanged(): Promise<boolean> {
		return this.serialize(async () => {
			const {era, end} = await this.log.end(topic, this.known.end);
			return era === this.known.era && end === this.known.end;
		});
	}

	/** Writes a new leader; fails with `StaleAppendError` if the topic changed since `state` was read. */
	async claimLead(record: LeaderRecord, state: OwnerState): Promise<void> {
		await this.serialize(async () => {
			this.adopt(state);
			await this.append(leaderKey, JSON.stringify(record), record.era);
		});
	}

	/** Replaces the record of this leader. */
	async updateLeader(record: LeaderRecord): Promise<void> {
		await this.serialize(async () => this.append(leaderKey, JSON.stringify(record), record.era));
	}

	/**
	 * Writes the owners of a service as the given leader. `change` receives the fencing token of the
	 * new record and returns the new map, to which the call resolves.
	 */
	async write(service: string, {era, term}: Leadership, change: (fence: number) => OwnershipMap): Promise<OwnershipMap> {
		return this.serialize(async () => {
			const map = change(fencingToken(era, this.known.end));
			await this.append(mapKeyPrefix + service, JSON.stringify({era, term, ranges: encodeRanges(map)}), era);
			return map;
		});
	}

	/** Appends a record that was decided in `era`. */
	/** Writes the owners of services in `state` again with new fencing tokens, if they are of an earlier era and the service is not in `except`. */
	async renewEarlierOwners(state: OwnerState, leadership: Leadership, except: {has(service: string): boolean}): Promise<void> {
		for (const [service, {era, map}] of state.owners) {
			if (!except.has(service) && era < leadership.era) {
				// eslint-disable-next-line no-await-in-loop
				await this.write(service, leadership, fence => map.renewFences(fence));
			}
		}
	}

	private async append(key: string, value: string, era: number): Promise<void> {
		if (this.known.era !== era) {
			throw new StaleAppendError(`append of ${key} rejected: decided in era ${era} of the store, which is now in era ${this.known.era}`);
		}

		const written = await this.log.append(topic, key, value, this.known.end);
		if (written.era !== era) {
			throw new UnknownAppendError(`append of ${key}: decided in era ${era} of the store, carried out in era ${written.era}`);
		}

		this.known = {era, end: written.offset + 1};
	}

	private async serialize<T>(action: () => Promise<T>): Promise<T> {
		const result = this.lastCall.then(action);
		this.lastCall = result.catch(() => undefined);
		return result;
	}
}

/**
 * Returns whether owners may have been granted keys that the topic does not show, because the store has returned from
 * an older copy since the records were written and no leader has made up for it.
 */
export function hasLostRecords({era, leader, owners}: OwnerState): boolean {
	if (leader === undefined) {
		return era > firstEra;
	}

	return leader.isRecovering || leader.era < era || [...owners.values()].some(record => record.era < era);
}

function encodeRanges(map: OwnershipMap): unknown[] {
	return map.ranges.map(({from, to, owner, fence, formers}) =>
		[from, to, owner, fence, formers.map(former => [former.owner, former.fence, ...(former.isSettled === true ? [1] : [])])]);
}

function decode({records, end, era}: KeyedListing): OwnerState {
	const owners = new Map<string, OwnersRecord>();
	let leader: LeaderRecord | undefined;
	for (const {key, value} of records) {
		if (key === leaderKey) {
			leader = leaderRecordSchema.parse(JSON.parse(value));
		} else if (key.startsWith(mapKeyPrefix)) {
			const record = ownersSchema.parse(JSON.parse(value));
			owners.set(key.slice(mapKeyPrefix.length), {
				era: record.era, term: record.term, map: new OwnershipMap(record.ranges.map(row => toRangeOwnership(row))),
			});
		}
	}

	return {
		era, end, leader, owners,
	};
}

function toRangeOwnership([from, to, owner, fence, formers]: z.infer<typeof rangeSchema>): RangeOwnership {
	return {
		from,
		to,
		owner,
		fence,
		formers: formers.map(([former, formerFence, settled]) => ({owner: former, fence: formerFence, ...(settled === 1 && {isSettled: true as const})})),
	};
}
