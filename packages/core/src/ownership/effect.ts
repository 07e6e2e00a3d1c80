import type {LogRecord} from '../records/index.js';

/** Kind of an effect. */
export enum EffectKind {
	/** Append a record to the log and report the outcome. */
	Append = 'append',
	/** Send a heartbeat to another instance. */
	Heartbeat = 'beat',
	/** Ask another instance whether it has folded an eviction. */
	Confirm = 'confirm',
	/** Read the tail of the log now. */
	CheckTail = 'check-tail',
	/** Renew the lease of a target and update its shards. */
	Grant = 'grant',
	/** Stop sending work for a shard and report when none is in flight. */
	DrainShard = 'drain-shard',
	/** Stop sending work to a target and report when none is in flight. */
	DrainTarget = 'drain-target',
	/** Resume work on a target or shard after a drain that did not lead to a handover. */
	Resume = 'resume',
	/** This incarnation was evicted; join again under a new id. */
	Rejoin = 'rejoin',
	/** The member has left; the process may exit. */
	Left = 'left',
}

/** One shard of a pool. */
export type ShardRef = {
	readonly pool: string;
	readonly shard: number;
};

/** Shard with the fence of its current ownership. */
export type FencedShard = ShardRef & {readonly fence: number};

/** Renewal of the lease of a target. */
export type GrantEffect = {
	readonly kind: EffectKind.Grant;
	readonly target: string;
	readonly addr: string;
	readonly tenure: number;
	/** Incarnation of the target that the grant is for; empty while unknown. */
	readonly incarnation: string;
	/** End of the lease on the clock of the target; 0 grants no lease and only reads that clock. */
	readonly until: number;
	/** Time on this member's clock until which the lease is certain to hold. */
	readonly usableUntil: number;
	/** Whether the target must drop all shards that are not in `grant`. */
	readonly isFull: boolean;
	readonly grant: readonly FencedShard[];
	readonly revoke: readonly ShardRef[];
	readonly sentAt: number;
};

/** Heartbeat to another instance. */
export type HeartbeatEffect = {
	readonly kind: EffectKind.Heartbeat;
	readonly peer: string;
	readonly addr: string;
	readonly sentAt: number;
};

/** Request to confirm that another instance has folded an eviction. */
export type ConfirmEffect = {
	readonly kind: EffectKind.Confirm;
	readonly peer: string;
	readonly addr: string;
	readonly eviction: number;
	/** Instances that the other one must no longer count as members. */
	readonly evicted: readonly string[];
};

/** Action that a member asks its host to carry out. */
export type Effect
	= | {readonly kind: EffectKind.Append; readonly record: LogRecord}
		| HeartbeatEffect
		| ConfirmEffect
		| {readonly kind: EffectKind.CheckTail; readonly sentAt: number}
		| GrantEffect
		| ({readonly kind: EffectKind.DrainShard; readonly target: string} & ShardRef)
		| {readonly kind: EffectKind.DrainTarget; readonly target: string}
		| {readonly kind: EffectKind.Resume; readonly target: string; readonly shard?: ShardRef}
		| {readonly kind: EffectKind.Rejoin}
		| {readonly kind: EffectKind.Left};

/** Answer of an instance to a heartbeat. */
export type HeartbeatAnswer = {
	/** Id of the answering incarnation. */
	readonly instance: string;
	/** Whether it knows the sender as a member, has folded no eviction of the sender or of itself and has not proposed to leave. */
	readonly vouches: boolean;
	/** Whether its own right holds; only then does it count as a contact for another failure domain. */
	readonly mayAct: boolean;
	/** Age in milliseconds of its last contact with another failure domain; -1 for none. */
	readonly contactAgeMs: number;
	/** Instances that it suspects. */
	readonly suspects: readonly string[];
	/** Failure domains of which it suspects every member. */
	readonly silentDomains: readonly string[];
};

/** Answer of a target to a grant. */
export type GrantAnswer = {
	readonly accepted: boolean;
	/** Changes with every start of the target. */
	readonly incarnation: string;
	/** Highest tenure that the target has seen. */
	readonly tenure: number;
	/** Monotonic clock of the target in milliseconds when it answered. */
	readonly clock: number;
	/** Number of shards that the target holds under its lease; absent when the target does not count them. */
	readonly shards?: number;
};
