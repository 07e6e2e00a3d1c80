import {z} from 'zod';
import type {Suspect} from '@bluebellyard/core';
import type {KeyedLog} from '../ports/index.js';

/** Topic that holds the requests under which targets ended repeatedly; operators release one by deleting its record. */
export const suspectTopic = 'keyed.bluebellyard-suspects';

const suspectSchema = z.object({
	service: z.string(),
	crashes: z.array(z.object({target: z.string(), version: z.string(), isAlone: z.boolean()})),
	trials: z.number().int(),
	isQuarantined: z.boolean(),
});

/** Suspects as stored, by fingerprint. */
export type StoredSuspects = {
	/** Era of the store, as in `TopicEnd`. */
	readonly era: number;
	readonly suspects: ReadonlyMap<string, Suspect>;
};

/** Reads and writes the suspects in the store. Errors are those of `KeyedLog`. */
export class SuspectLog {
	private readonly log: KeyedLog;

	constructor(log: KeyedLog) {
		this.log = log;
	}

	/** Reads all suspects. Records that can't be decoded are left out. */
	async list(): Promise<StoredSuspects> {
		const {era, records} = await this.log.list(suspectTopic);
		const suspects = new Map<string, Suspect>();
		for (const {key, value} of records) {
			const suspect = decode(value);
			if (suspect !== undefined) {
				suspects.set(key, suspect);
			}
		}

		return {era, suspects};
	}

	/** Writes a suspect; undefined deletes it. */
	async write(print: string, suspect: Suspect | undefined): Promise<void> {
		await this.log.append(suspectTopic, print, suspect === undefined ? '' : JSON.stringify(suspect));
	}
}

function decode(value: string): Suspect | undefined {
	try {
		return suspectSchema.parse(JSON.parse(value));
	} catch {
		// An empty value is a deleted record; anything else was not written by this program.
		return undefined;
	}
}
