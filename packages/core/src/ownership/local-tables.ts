import type {RecordBody} from '../records/index.js';
import type {ShardRef} from './effect.js';
import type {PlacementPlan} from './placement-plan.js';

/**
 * The tables of one member that are not folded from the log.
 */

/** Another instance to which heartbeats go. */
export type PeerRow = {
	readonly id: string;
	/** Since when the silence of the peer counts. */
	silenceCountedFrom: number;
	lastAnswerAt: number;
	nextHeartbeatAt: number;
	/** Heartbeats sent since the last answer. */
	unanswered: number;
	/** Its address answers under another id: that process life is over or moved. */
	isReplaced: boolean;
	suspects: readonly string[];
	silentDomains: readonly string[];
};

/** One reading of a target's clock. */
export type TargetClock = {
	readonly reading: number;
	/** When this member asked, by its own clock. */
	readonly askedAt: number;
	/** When the answer arrived, by its own clock. */
	readonly answeredAt: number;
};

/** A target of which this member is the steward. */
export type GrantRow = {
	readonly target: string;
	readonly tenure: number;
	/** End of the leases that a former steward may have given. */
	readonly priorLeaseEnd: number;
	/** Reading of the target's clock, and between which times of this clock it was taken. */
	clock: TargetClock | undefined;
	/** End of the last lease sent, by the target's clock; later grants end later. */
	sentUntil: number;
	/** Latest end of a lease that the target may hold, by this clock. */
	leaseEnd: number;
	/** End of the lease that the target holds for certain, by this clock. */
	ackedEnd: number;
	/** End of that lease by the target's clock. */
	ackedUntil: number;
	lastAckAt: number;
	nextSendAt: number;
	/** Failures of every kind since the last answer. */
	failures: number;
	/** Whether an answer to a grant is awaited. */
	isAwaiting: boolean;
	incarnation: string;
	/** Fence by `pool/shard` that the target confirmed. */
	readonly granted: Map<string, number>;
	/** Whether the target has to forget what it was granted under other tenures. */
	needsFullGrant: boolean;
	/** The target refused this tenure in favour of a later one. */
	isSuperseded: boolean;
	/** A record that gives the target away or declares it lost is pending. */
	isReleasePending: boolean;
};

/** Steps of handing a shard over. */
export enum HandoverPhase {
	Draining = 'draining',
	Revoking = 'revoking',
	Proposed = 'proposed',
}

/** A shard on its way from a target of this member. */
export type HandoverRow = ShardRef & {
	readonly from: string;
	readonly to: string;
	/** Fence of the ownership given away. */
	readonly fence: number;
	phase: HandoverPhase;
	/** Whether the target confirmed that it gave the shard up. */
	isRevoked: boolean;
};

/** A target whose stewardship this member gives away. */
export type TransferRow = {
	readonly target: string;
	readonly to: string;
	isDrained: boolean;
};

/** An eviction that this member completes. */
export type EvictionProgress = {
	readonly offset: number;
	readonly confirmed: Set<string>;
	nextAskAt: number;
	/** When the last needed confirmation arrived; `Infinity` before. */
	confirmedAt: number;
};

/** A record that was proposed and not yet read back. */
export type PendingRecord = {
	readonly id: string;
	readonly body: RecordBody;
	/** Whether the same record may have been appended before under another id. */
	readonly isInDoubt: boolean;
	/** Time from which it is proposed again; `Infinity` while an append is under way. */
	retryAt: number;
};

/** What the membership list says; a hint, never proof. */
export type ListedTarget = {
	readonly name: string;
	readonly pool: string;
	readonly domain: string;
	readonly addr: string;
	readonly isLeaving: boolean;
};

/** Load of one key, in requests a second. */
export type HotKey = {
	readonly pool: string;
	readonly key: string;
	readonly rate: number;
};

/** Local tables of one member. */
export type LocalTables = {
	readonly peers: Map<string, PeerRow>;
	readonly grants: Map<string, GrantRow>;
	/** By `pool/shard`. */
	readonly handovers: Map<string, HandoverRow>;
	/** By target. */
	readonly transfers: Map<string, TransferRow>;
	readonly evictionProgress: Map<number, EvictionProgress>;
	/** By what the record is about; one record about the same matter at a time. */
	readonly pending: Map<string, PendingRecord>;
	/** Latest membership list; undefined before the first. */
	listedTargets: ReadonlyMap<string, ListedTarget> | undefined;
	/** Names of the instances on the latest membership list. */
	listedInstances: ReadonlySet<string> | undefined;
	/** Earliest time of the next look at the end of the log. */
	nextTailCheckAt: number;
	/** The log refused an append, and no read of it was answered since. */
	isLogRefusing: boolean;
	/** Targets by the time of the next batch of moves from them. */
	readonly nextHandoverAt: Map<string, number>;
	/** Desired owners, computed for one state of the folded tables. */
	plan: PlacementPlan | undefined;
	/** Earliest time of the next plan. */
	nextPlanAt: number;
	/** Smoothed requests a second by `pool/shard`, for the targets of this member. */
	readonly measuredRates: Map<string, number>;
	/** Hot keys of the last measurement. */
	hotKeys: readonly HotKey[];
	/** Whether the last measurement was not yet looked at. */
	hasNewLoads: boolean;
};

/** Local tables of a member that starts. */
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

/** Key of a shard in maps. */
export function shardKey(pool: string, shard: number): string {
	return `${pool}/${shard}`;
}
