import {isTargetOut, type Rules} from '../rules/index.js';
import {TargetState} from '../records/index.js';

/**
 * The tables that every instance folds from the log.
 */

/** Place of an instance in the roster. */
export enum InstanceState {
	/** In the roster, with the right to act while it is vouched for. */
	Member = 'member',
	/** Evicted by a folded record; its right may still run. */
	Evicting = 'evicting',
	/** Left, or its right has run out for certain. */
	Removed = 'gone',
}

/** One process life of an entry instance. */
export type InstanceRow = {
	readonly id: string;
	readonly name: string;
	readonly domain: string;
	readonly peerAddr: string;
	readonly internalAddr: string;
	readonly controlAddr: string;
	/** Offset of its join record. */
	readonly joined: number;
	state: InstanceState;
	/** Offset of the eviction that covers it, 0 for none. */
	eviction: number;
	/** Whether it handed over the request ids that it kept before it left. */
	idsHandedOver: boolean;
};

/** One target and its steward. */
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
	/** Steward of the tenure before, empty for none. */
	prevSteward: string;
};

/** One shard of a keyed pool. */
export type ShardRow = {
	/** Owning target, empty for none. */
	owner: string;
	/** Offset of the ownership: the fence of its orders; 0 for none. */
	fence: number;
	/** Steward that last sent work for the shard before this ownership. */
	prevSteward: string;
	/** Measured load in requests a second. */
	load: number;
	/** Shard to which its keys hash; its own number but for a hot key, -1 for a row that is not in use. */
	base: number;
};

/** The shards of a pool; hot keys have shards of their own after the hashed ones. */
export type PoolRow = {
	readonly name: string;
	/** Number of shards that keys hash to. */
	readonly hashed: number;
	readonly shards: ShardRow[];
	/** Shard number by hot key. */
	readonly hot: Map<string, number>;
};

/** One eviction in progress. */
export type EvictionRow = {
	readonly offset: number;
	readonly by: string;
	readonly members: readonly string[];
};

/** The accepted configuration. */
export type ConfigRow = {
	/** Offset of its record, 0 before the first. */
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
	/** Offset of the last record folded. */
	folded: number;
};

/** Rules of an instance that has folded no configuration. */
export const emptyRules: Rules = {
	pools: new Map(),
	routes: [],
	domainsOut: new Set(),
	targetsOut: new Set(),
	domainsLost: new Set(),
};

/** A shard that nobody owned yet. */
export function newShard(base: number): ShardRow {
	return {
		owner: '', fence: 0, prevSteward: '', load: 0, base,
	};
}

/** Tables before the first record. */
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

/** Whether the target may own shards or receive new work. */
export function isEligible(tables: Tables, target: TargetRow): boolean {
	return target.state === TargetState.Live
		&& target.tenure > 0
		&& !isTargetOut(tables.config.rules, target);
}
