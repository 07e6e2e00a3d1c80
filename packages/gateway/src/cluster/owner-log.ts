/**
 * Leader and key owners as the gateway stores them in the platform's store.
 * Every write states the end of the topic on which it was decided, so the
 * writes of an instance that lost leadership are rejected.
 */
import {z} from 'zod';
import {OwnershipMap, type RangeOwnership} from '@bluebellyard/core';
import type {KeyedLog, KeyedListing, TopicEnd} from '../ports/index.js';

/** Topic that holds the leader and the owners. */
const topic = 'keyed.bluebellyard-owners';

const leaderKey = 'leader';
const mapKeyPrefix = 'keys/';

/** The instance that assigns keys to owners. */
export type LeaderRecord = {
	/** Increases with each change of the leader. */
	readonly term: number;
	readonly name: string;
	readonly incarnation: string;
	/** Names of former leaders whose grants may not have expired yet. */
	readonly formers: readonly string[];
};

/** Content of the topic. */
export type OwnerState = TopicEnd & {
	readonly leader: LeaderRecord | undefined;
	readonly maps: ReadonlyMap<string, OwnershipMap>;
};

const leaderSchema = z.object({
	term: z.number().int(), name: z.string(), incarnation: z.string(), formers: z.array(z.string()).default([]),
});

/** A range with its owner as `[from, to, owner, fence, [[former owner, its fence], ...]]`. */
const rangeSchema = z.tuple([
	z.number().int(),
	z.number().int(),
	z.string(),
	z.number().int(),
	z.array(z.tuple([z.string(), z.number().int()])),
]);

const mapSchema = z.array(rangeSchema).min(1);

/** Reads and writes the topic. Calls are executed one after the other. Errors are those of `KeyedLog`. */
export class OwnerLog {
	private readonly log: KeyedLog;
	private knownEnd = 0;
	private lastCall: Promise<unknown> = Promise.resolve();

	constructor(log: KeyedLog) {
		this.log = log;
	}

	/** End of the topic as of the last read or write. */
	get end(): number {
		return this.knownEnd;
	}

	/** Reads the whole topic. */
	async read(): Promise<OwnerState> {
		return this.serialize(async () => {
			const state = decode(await this.log.list(topic));
			this.knownEnd = state.end;
			return state;
		});
	}

	/** Returns whether the topic still ends where the last read or write left it. */
	async isUnchanged(): Promise<boolean> {
		return this.serialize(async () => {
			const {end} = await this.log.end(topic, this.knownEnd);
			return end === this.knownEnd;
		});
	}

	/** Writes a new leader; fails with `StaleAppendError` if the topic changed since `state` was read. */
	async claimLead(record: LeaderRecord, state: OwnerState): Promise<void> {
		await this.serialize(async () => {
			const {offset} = await this.log.append(topic, leaderKey, JSON.stringify(record), state.end);
			this.knownEnd = offset + 1;
		});
	}

	/** Replaces the record of this leader. */
	async updateLeader(record: LeaderRecord): Promise<void> {
		await this.serialize(async () => {
			const {offset} = await this.log.append(topic, leaderKey, JSON.stringify(record), this.knownEnd);
			this.knownEnd = offset + 1;
		});
	}

	/**
	 * Writes the owners of a service. `change` receives the fencing token of the
	 * new record and returns the new map, to which the call resolves.
	 */
	async write(service: string, change: (fence: number) => OwnershipMap): Promise<OwnershipMap> {
		return this.serialize(async () => {
			const map = change(this.knownEnd);
			const {offset} = await this.log.append(topic, mapKeyPrefix + service, encode(map), this.knownEnd);
			this.knownEnd = offset + 1;
			return map;
		});
	}

	private async serialize<T>(action: () => Promise<T>): Promise<T> {
		const result = this.lastCall.then(action);
		this.lastCall = result.catch(() => undefined);
		return result;
	}
}

function encode(map: OwnershipMap): string {
	const rows = map.ranges.map(({from, to, owner, fence, formers}) =>
		[from, to, owner, fence, formers.map(former => [former.owner, former.fence])]);
	return JSON.stringify(rows);
}

function decode({records, end, era}: KeyedListing): OwnerState {
	const maps = new Map<string, OwnershipMap>();
	let leader: LeaderRecord | undefined;
	for (const {key, value} of records) {
		if (key === leaderKey) {
			leader = leaderSchema.parse(JSON.parse(value));
		} else if (key.startsWith(mapKeyPrefix)) {
			const rows = mapSchema.parse(JSON.parse(value));
			maps.set(key.slice(mapKeyPrefix.length), new OwnershipMap(rows.map(row => toRangeOwnership(row))));
		}
	}

	return {
		era, end, leader, maps,
	};
}

function toRangeOwnership([from, to, owner, fence, formers]: z.infer<typeof rangeSchema>): RangeOwnership {
	return {
		from, to, owner, fence, formers: formers.map(([former, formerFence]) => ({owner: former, fence: formerFence})),
	};
}
