/** Class of the result that a caller got for one attempt. */
export enum ResultClass {
	/** The complete answer to its own request. */
	Ok = 'ok',
	/** A refusal that states that the request was not run. */
	NotRun = 'not-run',
	/** The request may have run. */
	Unknown = 'unknown',
	/** An answer to another request, or a refusal that does not state whether the request was run. */
	Wrong = 'wrong',
	/** An incomplete answer without any sign of an error. */
	Truncated = 'truncated',
}

/** Result of one attempt. */
export type Attempt = {
	readonly result: ResultClass;
	/** Reason given for a refusal, or the kind of failure; empty when ok. */
	readonly reason: string;
	/** Value of `retry-after` in seconds; undefined when absent. */
	readonly retryAfter?: number;
	/** Target that answered; empty when none did. */
	readonly target: string;
	/** Scheduled send time of the attempt, in milliseconds of the machine clock. */
	readonly scheduledAt: number;
	/** End of the attempt, when its result was known, in milliseconds of the machine clock. */
	readonly endedAt: number;
};

/** One request with its results, as seen by its caller. */
export type CallerView = {
	/** Request id. */
	readonly id: string;
	/** Method and path with query. */
	readonly line: string;
	readonly key: string;
	readonly isOnce: boolean;
	/** All attempts with the same request id, in order. */
	readonly attempts: readonly Attempt[];
};
