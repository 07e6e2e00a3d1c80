/** A record of a keyed topic. */
export type KeyedRecord = {
	readonly key: string;
	readonly value: string;
	readonly offset: number;
};

/** End of a topic. */
export type TopicEnd = {
	/**
	 * Number of the store's history. It rises whenever the store returns from an older copy: the newest records are
	 * then gone and their offsets are given to other records. 0 if the store does not state it.
	 */
	readonly era: number;
	/** Offset of the next record. */
	readonly end: number;
};

/** The newest record of each key of a topic. */
export type KeyedListing = TopicEnd & {
	readonly records: readonly KeyedRecord[];
};

/** A record that was written. */
export type AppendedRecord = {
	readonly era: number;
	readonly offset: number;
};

/** Thrown when it is unknown whether an append was carried out. */
export class UnknownAppendError extends Error {
	override readonly name = 'UnknownAppendError';
}

/** Thrown when a topic does not end at the offset that the writer expected. Nothing was written. */
export class StaleAppendError extends Error {
	override readonly name = 'StaleAppendError';
}

/**
 * Topics of the platform's store that hold the persistent state of the gateway.
 * The newest record of each key is retained. All methods reject if the store
 * can't be reached; only after an `UnknownAppendError` may a record have been
 * written.
 */
export abstract class KeyedLog {
	/** Newest era that any answer of the store has stated. */
	abstract get newestEra(): number;

	/** Lists a topic. Records that are written during the call may be missing. */
	abstract list(topic: string): Promise<KeyedListing>;

	/** Resolves to the end of a topic. `known` is an end that was read before, 0 for none. */
	abstract end(topic: string, known: number): Promise<TopicEnd>;

	/** Appends a record, with `at` only if the topic ends at that offset, whatever the era. */
	abstract append(topic: string, key: string, value: string, at?: number): Promise<AppendedRecord>;
}
