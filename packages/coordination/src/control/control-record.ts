import {z} from 'zod';
import {parseRecord} from '../fold/index.js';

/** Kinds of records that this package writes for itself. They are never passed to a fold. */
export enum ControlKind {
	/** One chunk of a snapshot. */
	Snapshot = 'snapshot',
	/** Position in the log up to which a writer searches for its own records after a lost answer. */
	Marker = 'marker',
}

/** Format version of control records. */
export const controlVersion = 1;

const versions: ReadonlySet<number> = new Set([controlVersion]);

const snapshotChunk = z.object({
	kind: z.literal(ControlKind.Snapshot),
	/** Offset of the last record folded into the state. */
	of: z.number().int().nonnegative(),
	/** Index of this chunk, from 0. */
	part: z.number().int().nonnegative(),
	/** Number of chunks of the snapshot. */
	parts: z.number().int().positive(),
	data: z.string(),
	/** SHA-256 of the whole snapshot text, in hex. */
	digest: z.string(),
});

const marker = z.object({
	kind: z.literal(ControlKind.Marker),
	id: z.string(),
});

const controlRecord = z.discriminatedUnion('kind', [snapshotChunk, marker]);

/** One chunk of a snapshot. */
export type SnapshotChunk = z.infer<typeof snapshotChunk>;

/** A marker record. */
export type Marker = z.infer<typeof marker>;

/** A record that this package writes for itself. */
export type ControlRecord = z.infer<typeof controlRecord>;

/** Serializes a control record. */
export function encodeControl(record: ControlRecord): string {
	return JSON.stringify({v: controlVersion, ...record});
}

/** Parses a control record. Returns `undefined` if `data` is any other record. */
export function decodeControl(data: string): ControlRecord | undefined {
	const hasKind = Object.values(ControlKind).some(kind => data.includes(`"${kind}"`));
	if (!hasKind) {
		return undefined;
	}

	const parsed = parseRecord(data, versions);
	return 'fault' in parsed ? undefined : controlRecord.safeParse(parsed.value).data;
}
