import {z} from 'zod';

/**
 * Zod schemas of the records in the log. A record has no effect when the versions
 * that it names have changed in the meantime; the state folder checks them.
 */

/** Version of the record format. */
export const recordVersion = 1;

/** Kind of a record. */
export enum RecordKind {
	Join = 'join',
	Leave = 'leave',
	Evict = 'evict',
	Evicted = 'evicted',
	Admit = 'admit',
	Retire = 'retire',
	Tenure = 'tenure',
	Moves = 'moves',
	TargetState = 'target-state',
	Config = 'config',
	Isolate = 'isolate',
	Merge = 'merge',
	Loads = 'loads',
}

/** State of a target, which decides whether it may own shards and receive work. */
export enum TargetState {
	Live = 'live',
	/** Has announced that it leaves; keeps its shards until they are handed over. */
	Leaving = 'leaving',
	/** Its lease has expired; owns no shard. */
	Lost = 'lost',
}

const offset = z.number().int().nonnegative();
const name = z.string().min(1).max(200);
const envelope = {
	v: z.literal(recordVersion),
	/** Unique id by which the writer recognizes its own record. */
	id: name,
	/** Id of the instance, or the operator, that wrote the record. */
	by: name,
};

/** A new incarnation becomes a member. */
export const joinSchema = z.object({
	...envelope,
	kind: z.literal(RecordKind.Join),
	instance: name,
	/** Id of the former incarnation of the same process, which has stopped acting. */
	former: name.optional(),
	name,
	domain: name,
	/** Address for heartbeats and state transfer. */
	peerAddr: name,
	/** Address for forwarded requests. */
	internalAddr: name,
	/** Address for operators. */
	controlAddr: name,
});

/** An instance has stopped acting and is no longer a member. */
export const leaveSchema = z.object({
	...envelope,
	kind: z.literal(RecordKind.Leave),
	instance: name,
	/** Whether other instances have taken over the request ids that it kept. */
	idsHandedOver: z.boolean().default(false),
	/** Member of another failure domain that has all request ids of its own; empty if there is none. */
	idsHolder: z.string().default(''),
	/** Member that has all copies which it kept of the ids of others; empty if there is none. */
	copiesHolder: z.string().default(''),
});

/** Evicts members, which lose their right to act; final once folded. */
export const evictSchema = z.object({
	...envelope,
	kind: z.literal(RecordKind.Evict),
	members: z.array(name).min(1),
});

/** Completes an eviction: the rights of all evicted instances have expired. */
export const evictedSchema = z.object({
	...envelope,
	kind: z.literal(RecordKind.Evicted),
	eviction: offset,
});

/** Adds targets, or changes the address of targets that own no shard. */
export const admitSchema = z.object({
	...envelope,
	kind: z.literal(RecordKind.Admit),
	targets: z.array(z.object({
		name, pool: name, domain: name, addr: name,
	})).min(1),
});

/** Removes a target that owns no shard. */
export const retireSchema = z.object({
	...envelope,
	kind: z.literal(RecordKind.Retire),
	target: name,
	tenure: offset,
});

/** Changes the stewards of targets; `prev` is the offset of the replaced tenure, 0 for none. */
export const tenureSchema = z.object({
	...envelope,
	kind: z.literal(RecordKind.Tenure),
	changes: z.array(z.object({target: name, steward: name, prev: offset})).min(1),
});

const moveSchema = z.object({
	pool: name,
	shard: z.number().int().nonnegative(),
	to: name,
	/** Offset of the replaced ownership, 0 for none. */
	prev: offset,
	/** Tenure of the current owner, 0 for an unowned shard. */
	tenure: offset,
});

/** Changes the owners of shards; with `lost`, the steward also declares its target lost. */
export const movesSchema = z.object({
	...envelope,
	kind: z.literal(RecordKind.Moves),
	lost: z.object({target: name, tenure: offset}).optional(),
	moves: z.array(moveSchema),
});

/** Reports a new state of a target; written by its steward. */
export const targetStateSchema = z.object({
	...envelope,
	kind: z.literal(RecordKind.TargetState),
	target: name,
	tenure: offset,
	state: z.enum(TargetState),
});

/** Publishes a rules file; `base` is the offset of the configuration that the operator saw, 0 for none. */
export const configSchema = z.object({
	...envelope,
	kind: z.literal(RecordKind.Config),
	base: offset,
	text: z.string(),
});

/** Gives a hot key its own shard, which the owner of its current shard owns. */
export const isolateSchema = z.object({
	...envelope,
	kind: z.literal(RecordKind.Isolate),
	pool: name,
	key: z.string().min(1),
	/** Offset of the current ownership of the shard that the key hashes to. */
	prev: offset,
});

/** Merges the shard of a cooled key into the shard that it hashes to; both must have the same owner. */
export const mergeSchema = z.object({
	...envelope,
	kind: z.literal(RecordKind.Merge),
	pool: name,
	key: z.string().min(1),
	/** Offset of the current ownership of the key's own shard. */
	prev: offset,
});

/** Records measured loads of shards in whole requests per second; only loads that changed significantly. */
export const loadsSchema = z.object({
	...envelope,
	kind: z.literal(RecordKind.Loads),
	pools: z.array(z.object({
		pool: name,
		loads: z.array(z.tuple([z.number().int().nonnegative(), z.number().int().nonnegative()])),
	})).min(1),
});

/** Any record. */
export const recordSchema = z.discriminatedUnion('kind', [
	joinSchema,
	leaveSchema,
	evictSchema,
	evictedSchema,
	admitSchema,
	retireSchema,
	tenureSchema,
	movesSchema,
	targetStateSchema,
	configSchema,
	isolateSchema,
	mergeSchema,
	loadsSchema,
]);

export type JoinRecord = z.infer<typeof joinSchema>;
export type LeaveRecord = z.infer<typeof leaveSchema>;
export type EvictRecord = z.infer<typeof evictSchema>;
export type EvictedRecord = z.infer<typeof evictedSchema>;
export type AdmitRecord = z.infer<typeof admitSchema>;
export type RetireRecord = z.infer<typeof retireSchema>;
export type TenureRecord = z.infer<typeof tenureSchema>;
export type MovesRecord = z.infer<typeof movesSchema>;
export type Move = z.infer<typeof moveSchema>;
export type TargetStateRecord = z.infer<typeof targetStateSchema>;
export type ConfigRecord = z.infer<typeof configSchema>;
export type IsolateRecord = z.infer<typeof isolateSchema>;
export type LogRecord = z.infer<typeof recordSchema>;

export type MergeRecord = z.infer<typeof mergeSchema>;
export type LoadsRecord = z.infer<typeof loadsSchema>;

type WithoutEnvelope<T> = T extends LogRecord ? Omit<T, 'v' | 'id' | 'by'> : never;

/** Record without the envelope of version, id and writer. */
export type RecordBody = WithoutEnvelope<LogRecord>;

/** Returns the body with its envelope. */
export function createRecord(body: RecordBody, id: string, by: string): LogRecord {
	return {
		v: recordVersion, id, by, ...body,
	};
}

/** Encodes a record as JSON. */
export function encodeRecord(record: LogRecord): string {
	return JSON.stringify(record);
}

/** Decodes a record; returns undefined for a foreign or malformed record or one of a newer version. */
export function decodeRecord(data: string): LogRecord | undefined {
	try {
		const parsed = recordSchema.safeParse(JSON.parse(data));
		return parsed.success ? parsed.data : undefined;
	} catch {
		return undefined;
	}
}
