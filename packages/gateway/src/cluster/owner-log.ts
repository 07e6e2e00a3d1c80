/**
 * What the gateway keeps in the platform's store: who leads, and who owns
 * which keys. Every write names the end of the topic that it was decided on,
 * so an instance that lost the lead can't write any more.
 */
import {z} from 'zod';
import {OwnershipMap, type RangeOwnership} from '@bluebellyard/core';
import type {KeyedLog, KeyedListing} from '../ports/index.js';

/** Topic of leader and owners. */
const topic = 'keyed.bluebellyard-owners';

const leaderKey = 'leader';
const mapPrefix = 'keys/';

/** The instance that decides about keys. */
export type LeaderRecord = {
	/** Grows with each change of the leader. */
	readonly term: number;
	readonly name: string;
	readonly incarnation: string;
	/** Names of earlier leaders whose grants may not have lapsed yet. */
	readonly formers: readonly string[];
};

/** What the topic says. */
export type OwnerState = {
	readonly end: number;
	readonly leader: LeaderRecord | undefined;
	readonly maps: ReadonlyMap<string, OwnershipMap>;
};

const leaderSchema = z.object({
	term: z.number().int(), name: z.string(), incarnation: z.string(), formers: z.array(z.string()).default([]),
});

/** A holding as `[from, to, owner, fence, [[former owner, its fence], ...]]`. */
const holdingSchema = z.tuple([
	z.number().int(),
	z.number().int(),
	z.string(),
	z.number().int(),
	z.array(z.tuple([z.string(), z.number().int()])),
]);

const mapSchema = z.array(holdingSchema).min(1);

/** Reads and writes the topic. Calls go out one after the other. */
export class OwnerLog {
	private readonly log: KeyedLog;
	private known = 0;
	private last: Promise<unknown> = Promise.resolve();

	constructor(log: KeyedLog) {
		this.log = log;
	}

	/** End of the topic as last read or written. */
	get end(): number {
		return this.known;
	}

	/** Reads everything. */
	async read(): Promise<OwnerState> {
		return this.inTurn(async () => {
			const state = decode(await this.log.list(topic));
			this.known = state.end;
			return state;
		});
	}

	/** Whether nothing was written since the last call of this object. */
	async isUnchanged(): Promise<boolean> {
		return this.inTurn(async () => (await this.log.end(topic, this.known)) === this.known);
	}

	/** Takes the lead if nothing was written since `state` was read. */
	async claimLead(record: LeaderRecord, state: OwnerState): Promise<void> {
		await this.inTurn(async () => {
			const offset = await this.log.append(topic, leaderKey, JSON.stringify(record), state.end);
			this.known = offset + 1;
		});
	}

	/** Writes the record of this leader anew. */
	async updateLeader(record: LeaderRecord): Promise<void> {
		await this.inTurn(async () => {
			const offset = await this.log.append(topic, leaderKey, JSON.stringify(record), this.known);
			this.known = offset + 1;
		});
	}

	/**
	 * Writes the owners of a service. `change` gets the fencing token that the
	 * record will have, and answers the new map. Resolves to that map.
	 */
	async write(service: string, change: (fence: number) => OwnershipMap): Promise<OwnershipMap> {
		return this.inTurn(async () => {
			const map = change(this.known);
			const offset = await this.log.append(topic, mapPrefix + service, encode(map), this.known);
			this.known = offset + 1;
			return map;
		});
	}

	private async inTurn<T>(action: () => Promise<T>): Promise<T> {
		const result = this.last.then(action);
		this.last = result.catch(() => undefined);
		return result;
	}
}

function encode(map: OwnershipMap): string {
	const rows = map.ranges.map(({from, to, owner, fence, formers}) =>
		[from, to, owner, fence, formers.map(former => [former.owner, former.fence])]);
	return JSON.stringify(rows);
}

function decode({records, end}: KeyedListing): OwnerState {
	const maps = new Map<string, OwnershipMap>();
	let leader: LeaderRecord | undefined;
	for (const {key, value} of records) {
		if (key === leaderKey) {
			leader = leaderSchema.parse(JSON.parse(value));
		} else if (key.startsWith(mapPrefix)) {
			const rows = mapSchema.parse(JSON.parse(value));
			maps.set(key.slice(mapPrefix.length), new OwnershipMap(rows.map(row => toHolding(row))));
		}
	}

	return {end, leader, maps};
}

function toHolding([from, to, owner, fence, formers]: z.infer<typeof holdingSchema>): RangeOwnership {
	return {
		from, to, owner, fence, formers: formers.map(([former, formerFence]) => ({owner: former, fence: formerFence})),
	};
}
