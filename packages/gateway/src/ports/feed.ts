import type {
	HostRoute, CallerLimits, Service, TargetInfo, Team, TeamKeys,
} from '@bluebellyard/core';

/** Changes since the previous call. */
export type FeedChange<T> = {
	/** Era of the store, as in `TopicEnd`. */
	readonly era: number;
	/** Whether `set` holds all entries rather than the changed ones. */
	readonly isFull: boolean;
	readonly set: ReadonlyMap<string, T>;
	/** Keys that were removed. */
	readonly gone: readonly string[];
};

/** Options of a read. */
export type FeedReadOptions = {
	/** Longest time until the answer, beside the wait, in milliseconds; the adapter has a usual timeout. */
	readonly timeoutMs?: number;
	/** Called when the store has answered, before the entries are decoded. */
	readonly onAnswer?: () => void;
};

/** A stream of changes from the platform's store. */
export abstract class Feed<T> {
	/** Waits up to `waitMs` for changes and resolves to them, possibly to none. Rejects if the store can't be reached or does not answer in time. */
	abstract next(waitMs: number, options?: FeedReadOptions): Promise<FeedChange<T>>;

	/** Makes the next call of `next` return all entries. */
	abstract restart(): void;

	/** Returns another reader of the same entries, which returns all of them at first. */
	abstract fork(): Feed<T>;
}

/** A published configuration. */
export type GatewayConfig = {
	/** Increases with each published configuration, in steps of any size. */
	readonly version: number;
	readonly routes: readonly HostRoute[];
	readonly services: readonly Service[];
	readonly limits: CallerLimits;
	/** Teams of callers; undefined or empty if callers need no keys. */
	readonly teams?: readonly Team[];
	/** Digests of the teams' keys, with the name of the team. */
	readonly teamKeys?: TeamKeys;
};

/** Entry published by operators. */
export type OperatorEntry
	= | {readonly kind: 'config'; readonly config: GatewayConfig}
		| {readonly kind: 'evacuation'; readonly domain: string};

/** Feed of the entries published by operators. */
export type OperatorFeed = Feed<OperatorEntry>;

/** Feed of the entries published by targets, one per name. */
export type TargetFeed = Feed<TargetInfo>;
