import {isTargetOut, type Rules} from '../rules/index.js';
import {TargetState} from '../records/index.js';

/**
 * Tables that every instance folds from the log.
 */

/** Membership state of an instance. */
export enum InstanceState {
	/** A member; has the right to act while others vouch for it. */
	Member = 'member',
	/** Evicted by a folded record; its right may not have expired yet. */
	Evicting = 'evicting',
	/** Has left, or its right has certainly expired. */
	Removed = 'gone',
}

/** One incarnation of an instance. */
export type InstanceRow = {
	readonly id: string;
	readonly name: string;
	readonly domain: string;
	readonly peerAddr: string;
	readonly internalAddr: string;
	readonly controlAddr: string;
	/** Offset of the join record. */
	readonly joined: number;
	state: InstanceState;
	/** Offset of the latest eviction of the instance, 0 for none. */
	eviction: number;
	/** Whether it handed over the request ids that it kept before it left. */
	idsHandedOver: boolean;
	/** Member of another failure domain to which it gave all request ids of its own before it left; empty if there is none. */
	idsHolder: string;
	/** Member to which it gave all copies of the ids of others before it left; empty if there is none. */
	copiesHolder: string;
};

/** Target and its steward. */
export type TargetRow = {
	readonly name: string;
	readonly pool: string;
	readonly domain: string;
	addr: string;
	state: TargetState;
	/** Instance id of the steward, empty for none. */
	steward: string;
	/** Offset of the tenure, 0 for none. */
	tenure: number;
	/** Steward of the previous tenure, empty for none. */
	prevSteward: string;
};

/** One shard of a keyed pool. */
export type ShardRow = {
	/** Owning target, empty for none. */
	owner: string;
	/** Offset of the record that set the owner, which is the fence of the shard's orders; 0 for none. */
	fence: number;
	/** Last steward that sent work for the shard under the previous ownership. */
	prevSteward: string;
	/** Measured load in requests per second. */
	load: number;
	/** Shard that its keys hash to: its own number except for a hot key; -1 for a row that is not in use. */
	base: number;
};

/** Shards of a pool; hot keys have their own shards after the hashed ones. */
export type PoolRow = {
	readonly name: string;
	/** Number of shards that keys are hashed to. */
	readonly hashed: number;
	readonly shards: ShardRow[];
	/** Shard number by hot key. */
	readonly hot: Map<string, number>;
};

/** Eviction in progress. */
export type EvictionRow = {
	readonly offset: number;
	readonly by: string;
	readonly members: readonly string[];
};

/** Configuration in force. */
export type ConfigRow = {
	/** Offset of the record, 0 before the first. */
	offset: number;
	text: string;
	rules: Rules;
};

/** All folded tables. */
export type Tables = {
	readonly instances: Map<string, InstanceRow>;
	readonly targets: Map<string, TargetRow>;
	readonly pools: Map<string, PoolRow>;
	readonly evictions: Map<number, EvictionRow>;
	config: ConfigRow;
	/** Offset of the last folded record. */
	folded: number;
};

/** Rules before the first configuration is folded. */
export const emptyRules: Rules = {
	pools: new Map(),
	routes: [],
	domainsOut: new Set(),
	targetsOut: new Set(),
	domainsLost: new Set(),
};

/** Returns a shard that has never been owned. */
export function createShard(base: number): ShardRow {
	return {
		owner: '', fence: 0, prevSteward: '', load: 0, base,
	};
}

/** Returns the tables before the first record. */
export function emptyTables(): Tables {
	return {
		instances: new Map(),
		targets: new Map(),
		pools: new Map(),
		evictions: new Map(),
		config: {offset: 0, text: '', rules: emptyRules},
		folded: 0,
	};
}

/** Returns whether the target may own shards and receive new work. */
export function isEligible(tables: Tables, target: TargetRow): boolean {
	return target.state === TargetState.Live
		&& target.tenure > 0
		&& !isTargetOut(tables.config.rules, target);
}
