import type {RecordBody} from '../records/index.js';
import type {ShardRef} from './effect.js';
import type {PlacementPlan} from './placement-plan.js';

/**
 * Tables of a member that are not folded from the log.
 */

/** Another instance that this member sends heartbeats to. */
export type PeerRow = {
	readonly id: string;
	/** Time from which silence of the peer counts. */
	silenceCountedFrom: number;
	lastAnswerAt: number;
	nextHeartbeatAt: number;
	/** Heartbeats sent since the last answer. */
	unanswered: number;
	/** Whether its address answers under another id: that incarnation has ended or moved. */
	isReplaced: boolean;
	suspects: readonly string[];
	silentDomains: readonly string[];
};

/** One reading of a target's clock. */
export type TargetClock = {
	readonly reading: number;
	/** Time of the request on this member's clock. */
	readonly askedAt: number;
	/** Time of the answer on this member's clock. */
	readonly answeredAt: number;
};

/** Lease and granted shards of a target whose steward is this member. */
export type GrantRow = {
	readonly target: string;
	readonly tenure: number;
	/** End of any lease that a former steward may have granted, on this member's clock. */
	readonly priorLeaseEnd: number;
	/** Last reading of the target's clock; undefined before the first. */
	clock: TargetClock | undefined;
	/** End of the last lease sent, on the target's clock; later grants end later. */
	sentUntil: number;
	/** Latest end of a lease that the target may hold, on this member's clock. */
	leaseEnd: number;
	/** Time until which the target is certain to hold a lease, on this member's clock. */
	ackedEnd: number;
	/** End of that lease on the target's clock. */
	ackedUntil: number;
	lastAckAt: number;
	nextSendAt: number;
	/** Failed grants since the last answer. */
	failures: number;
	/** Whether a grant has been sent and its outcome is not known yet. */
	isAwaiting: boolean;
	incarnation: string;
	/** Fences that the target has confirmed, by `pool/shard`. */
	readonly granted: Map<string, number>;
	/** Whether the next grant must replace all shards that the target holds, such as those of other tenures. */
	needsFullGrant: boolean;
	/** Whether the target has refused this tenure because it knows a later one. */
	isSuperseded: boolean;
	/** Whether a record that transfers the target or declares it lost is pending. */
	isReleasePending: boolean;
};

/** Phase of a handover. */
export enum HandoverPhase {
	Draining = 'draining',
	Revoking = 'revoking',
	Proposed = 'proposed',
}

/** Shard that is handed over from a target of this member to another target. */
export type HandoverRow = ShardRef & {
	readonly from: string;
	readonly to: string;
	/** Fence of the ownership that ends. */
	readonly fence: number;
	phase: HandoverPhase;
	/** Whether the target has confirmed the revocation. */
	isRevoked: boolean;
};

/** Target whose stewardship this member transfers to another one. */
export type TransferRow = {
	readonly target: string;
	readonly to: string;
	isDrained: boolean;
};

/** Progress of an eviction that this member completes. */
export type EvictionProgress = {
	readonly offset: number;
	/** Latest offset that each other instance has confirmed to have folded. */
	readonly confirmed: Map<string, number>;
	/** Incarnations that have ended: another one answers at their address. */
	readonly ended: Set<string>;
	nextAskAt: number;
	/** Time from which the rights of the evicted instances run out: all required confirmations had arrived; `Infinity` before. */
	confirmedAt: number;
	/** Whether the evicted instances might vouch for each other at the last check. */
	wasMutual: boolean;
};

/** Record that was proposed and not yet read back from the log. */
export type PendingRecord = {
	readonly id: string;
	readonly body: RecordBody;
	/** Whether an earlier append of the same record under another id may have succeeded. */
	readonly isInDoubt: boolean;
	/** Time of the next attempt; `Infinity` while an append is in progress. */
	retryAt: number;
};

/** Target as the membership list reports it; a hint that proves nothing. */
export type ListedTarget = {
	readonly name: string;
	readonly pool: string;
	readonly domain: string;
	readonly addr: string;
	readonly isLeaving: boolean;
};

/** Load of one key, in requests per second. */
export type HotKey = {
	readonly pool: string;
	readonly key: string;
	readonly rate: number;
};

/** All local tables of a member. */
export type LocalTables = {
	readonly peers: Map<string, PeerRow>;
	readonly grants: Map<string, GrantRow>;
	/** By `pool/shard`. */
	readonly handovers: Map<string, HandoverRow>;
	/** By target. */
	readonly transfers: Map<string, TransferRow>;
	readonly evictionProgress: Map<number, EvictionProgress>;
	/** Pending records by topic; at most one per topic. */
	readonly pending: Map<string, PendingRecord>;
	/** Targets on the latest membership list, by name; undefined before the first list. */
	listedTargets: ReadonlyMap<string, ListedTarget> | undefined;
	/** Names of the instances on the latest membership list; undefined before the first list. */
	listedInstances: ReadonlySet<string> | undefined;
	/** Earliest time of the next read of the log tail. */
	nextTailCheckAt: number;
	/** Whether the log has refused an append and answered no read since. */
	isLogRefusing: boolean;
	/** Earliest time of the next handover batch, by target. */
	readonly nextHandoverAt: Map<string, number>;
	/** Latest placement plan. */
	plan: PlacementPlan | undefined;
	/** Earliest time at which the plan is recomputed. */
	nextPlanAt: number;
	/** Smoothed requests per second by `pool/shard`, for the targets of this member. */
	readonly measuredRates: Map<string, number>;
	/** Hot keys of the last measurement. */
	hotKeys: readonly HotKey[];
	/** Whether the last measurement is not processed yet. */
	hasNewLoads: boolean;
};

/** Returns the local tables of a member that starts. */
export function emptyLocalTables(): LocalTables {
	return {
		peers: new Map(),
		grants: new Map(),
		handovers: new Map(),
		transfers: new Map(),
		evictionProgress: new Map(),
		pending: new Map(),
		listedTargets: undefined,
		listedInstances: undefined,
		nextTailCheckAt: 0,
		isLogRefusing: false,
		nextHandoverAt: new Map(),
		plan: undefined,
		nextPlanAt: 0,
		measuredRates: new Map(),
		hotKeys: [],
		hasNewLoads: false,
	};
}

/** Returns the map key `pool/shard` of a shard. */
export function shardKey(pool: string, shard: number): string {
	return `${pool}/${shard}`;
}
