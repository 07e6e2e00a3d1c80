/** One record of the log. */
export type LogRecord = {
	readonly offset: number;
	readonly data: string;
};

/** Result of one read. */
export type LogPage = {
	/** Oldest offset that the log still holds. */
	readonly first: number;
	/** End of the log: the offset of the next record to be appended. */
	readonly next: number;
	/** Records from the requested offset on, contiguous and in order. */
	readonly records: readonly LogRecord[];
};

/** The log is unreachable, or its answer was lost. */
export class LogUnavailable extends Error {
	override readonly name = 'LogUnavailable';

	/** `mayHaveRun` is true if an append may have taken effect. */
	constructor(message: string, readonly mayHaveRun: boolean, options?: ErrorOptions) {
		super(message, options);
	}
}

/** The requested offset is older than the oldest one that the log still holds. */
export class LogTruncated extends Error {
	override readonly name = 'LogTruncated';

	/** `first` is the oldest offset held and `next` the end of the log. */
	constructor(readonly first: number, readonly next: number) {
		super(`The log keeps offsets ${first} to ${next - 1}.`);
	}
}

/** The log lost records that were read from it, and holds others at their offsets. */
export class LogReset extends Error {
	override readonly name = 'LogReset';
}

/** An append-only log with limited retention. Offsets start at 1. */
export abstract class LogService {
	/**
	 * Appends records at contiguous offsets and returns the offset of the first.
	 * Throws `LogUnavailable`.
	 */
	abstract append(records: readonly string[]): Promise<number>;

	/**
	 * Reads up to `limit` records from offset `from` on. Waits up to `waitMs`
	 * milliseconds if there are none yet. Throws `LogUnavailable` or `LogTruncated`.
	 */
	abstract read(from: number, limit: number, waitMs: number, signal?: AbortSignal): Promise<LogPage>;
}
