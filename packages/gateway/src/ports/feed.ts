import type {
	HostRoute, CallerLimits, Service, TargetInfo,
} from '@bluebellyard/core';

/** Changes since the last call. */
export type FeedChange<T> = {
	/** Whether `set` is all there is, and not only what changed. */
	readonly isFull: boolean;
	readonly set: ReadonlyMap<string, T>;
	/** Keys that were removed. */
	readonly gone: readonly string[];
};

/** A stream of changes that the platform's store offers. */
export abstract class Feed<T> {
	/** Waits up to `waitMs` for changes and answers them, none when there were none; fails when the store can't be reached. */
	abstract next(waitMs: number): Promise<FeedChange<T>>;

	/** Makes the next call answer everything. */
	abstract restart(): void;
}

/** A published configuration. */
export type GatewayConfig = {
	/** Versions grow in steps of any size. */
	readonly version: number;
	readonly routes: readonly HostRoute[];
	readonly services: readonly Service[];
	readonly limits: CallerLimits;
};

/** What operators publish. */
export type OperatorEntry
	= | {readonly kind: 'config'; readonly config: GatewayConfig}
		| {readonly kind: 'evacuation'; readonly domain: string};

/** What operators publish, as a feed. */
export type OperatorFeed = Feed<OperatorEntry>;

/** What targets say of themselves, as a feed; one entry a name. */
export type TargetFeed = Feed<TargetInfo>;
