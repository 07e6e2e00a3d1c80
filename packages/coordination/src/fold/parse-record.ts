import {z} from 'zod';

/** Why a record could not be parsed. */
export enum RecordFault {
	/** The data is not a JSON object with a version. */
	Malformed = 'malformed',
	/** The version is not supported by the reader. */
	UnknownVersion = 'unknown-version',
}

/** Result of parsing a record. */
export type ParsedRecord
	= | {readonly fault: RecordFault}
		| {readonly value: Readonly<Record<string, unknown>>};

const versioned = z.looseObject({v: z.number().int()});

/** Parses a JSON object whose field `v` is one of `versions`. */
export function parseRecord(data: string, versions: ReadonlySet<number>): ParsedRecord {
	let json: unknown;
	try {
		json = JSON.parse(data);
	} catch {
		return {fault: RecordFault.Malformed};
	}

	const result = versioned.safeParse(json);
	if (!result.success) {
		return {fault: RecordFault.Malformed};
	}

	return versions.has(result.data.v) ? {value: result.data} : {fault: RecordFault.UnknownVersion};
}
