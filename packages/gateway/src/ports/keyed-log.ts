/** One record of a keyed topic. */
export type KeyedRecord = {
	readonly key: string;
	readonly value: string;
	readonly offset: number;
};

/** The newest record of each key of a topic. */
export type KeyedListing = {
	readonly records: readonly KeyedRecord[];
	/** Offset of the next record. */
	readonly end: number;
};

/** Thrown when an append may or may not have been carried out. */
export class UnknownAppendError extends Error {
	override readonly name = 'UnknownAppendError';
}

/** Thrown when a topic does not end where the writer expected; nothing was written. */
export class StaleAppendError extends Error {
	override readonly name = 'StaleAppendError';
}

/**
 * Topics of the platform's store in which the gateway keeps what must last:
 * of each key the newest record stays. All methods fail when the store can't
 * be reached; only `UnknownAppendError` leaves open whether something was written.
 */
export abstract class KeyedLog {
	/** Lists a topic. Records that are written meanwhile may be in it or not. */
	abstract list(topic: string): Promise<KeyedListing>;

	/** Offset of the next record; `known` is an end that was read before, 0 for none. */
	abstract end(topic: string, known: number): Promise<number>;

	/** Appends a record; with `at` only if the topic ends there. Resolves to the offset of the record. */
	abstract append(topic: string, key: string, value: string, at?: number): Promise<number>;
}
