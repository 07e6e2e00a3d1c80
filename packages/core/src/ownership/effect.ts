import type {LogRecord} from '../records/index.js';

/** What a member asks its host to do. */
export enum EffectKind {
	/** Append a record to the log and report what became of it. */
	Append = 'append',
	/** Send a heartbeat to another instance. */
	Heartbeat = 'beat',
	/** Ask another instance whether it folded an eviction. */
	Confirm = 'confirm',
	/** Read the end of the log at once. */
	CheckTail = 'check-tail',
	/** Renew the lease of a target and change its shards. */
	Grant = 'grant',
	/** Stop new work on a shard and report when none is in flight. */
	DrainShard = 'drain-shard',
	/** Stop new work on a target and report when none is in flight. */
	DrainTarget = 'drain-target',
	/** Take up work on a target or shard again after a drain that came to nothing. */
	Resume = 'resume',
	/** This process life is over for the roster; join again under a new id. */
	Rejoin = 'rejoin',
	/** Everything is handed over; the process may end. */
	Left = 'left',
}

/** One shard of a pool. */
export type ShardRef = {
	readonly pool: string;
	readonly shard: number;
};

/** A shard with the fence of its ownership. */
export type FencedShard = ShardRef & {readonly fence: number};

/** Renewal of a target's lease. */
export type GrantEffect = {
	readonly kind: EffectKind.Grant;
	readonly target: string;
	readonly addr: string;
	readonly tenure: number;
	/** Process life of the target that is meant; empty while it is not known. */
	readonly incarnation: string;
	/** End of the lease by the clock of the target; 0 gives no lease and only asks for the clock. */
	readonly until: number;
	/** Time of this member's clock before which the lease surely holds. */
	readonly usableUntil: number;
	/** Whether the target must forget all shards that are not named. */
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

/** Question whether another instance folded an eviction. */
export type ConfirmEffect = {
	readonly kind: EffectKind.Confirm;
	readonly peer: string;
	readonly addr: string;
	readonly eviction: number;
};

/** What a member asks its host to do. */
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

/** What an instance answers to a heartbeat. */
export type HeartbeatAnswer = {
	/** Id of the process life that answers. */
	readonly instance: string;
	/** It knows the asker as a member, and folded no eviction of it or of itself. */
	readonly vouches: boolean;
	/** Its own right holds; only then is it a contact for another failure domain. */
	readonly mayAct: boolean;
	/** Age of its last contact outside its failure domain in milliseconds; -1 for none. */
	readonly contactAgeMs: number;
	/** Instances that it suspects. */
	readonly suspects: readonly string[];
	/** Failure domains of which it suspects every member. */
	readonly silentDomains: readonly string[];
};

/** What a target answers to a grant. */
export type GrantAnswer = {
	readonly accepted: boolean;
	/** Changes with every start of the target. */
	readonly incarnation: string;
	/** Highest tenure that the target has seen. */
	readonly tenure: number;
	/** Monotonic clock of the target in milliseconds when it answered. */
	readonly clock: number;
	/** Number of shards that the target has under its lease; absent for a target that does not count them. */
	readonly shards?: number;
};
