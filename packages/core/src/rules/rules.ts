/**
 * Model of a rules file, which operators publish as the configuration.
 */

/** Kind of a pool. */
export enum PoolKind {
	/** Each key has one exclusive owner. */
	Keyed = 'keyed',
	/** Any target may serve any request. */
	Shared = 'shared',
}

/** Whether a repeated request may run again. */
export enum Repeat {
	/** Safe to send more than once. */
	Idempotent = 'idempotent',
	/** Must run at most once. */
	Once = 'once',
}

/** Source of a rule in the rules file. */
export type RuleSource = {
	/** Line number, from 1. */
	readonly line: number;
	/** Comment of the line, which names the person who requested the rule. */
	readonly who: string;
};

/** Group of targets that serve the same requests. */
export type PoolRule = {
	readonly name: string;
	readonly kind: PoolKind;
	/** Number of shards of a keyed pool; 0 for a shared pool. */
	readonly shards: number;
	/** Number of requests that one target runs concurrently. */
	readonly slots: number;
	/** Maximum number of requests that wait for one target. */
	readonly queue: number;
	/** Whether the targets check the fence of each order. */
	readonly fenced: boolean;
	/** Maximum duration of a request in milliseconds. */
	readonly timeout: number;
	/** Absent for rules that were not read from a file. */
	readonly source?: RuleSource;
};

/** Maps requests by method and path to a pool. */
export type RouteRule = {
	/** HTTP methods, upper case. */
	readonly methods: readonly string[];
	/** Path segments: literals, `{key}` for the key, `*` for any single segment, a final `**` for any remaining segments. */
	readonly segments: readonly string[];
	readonly pool: string;
	readonly repeat: Repeat;
	/** Absent for rules that were not read from a file. */
	readonly source?: RuleSource;
};

/** Rules of a valid rules file. */
export type Rules = {
	readonly pools: ReadonlyMap<string, PoolRule>;
	readonly routes: readonly RouteRule[];
	/** Failure domains that receive no new work. */
	readonly domainsOut: ReadonlySet<string>;
	/** Targets that receive no new work. */
	readonly targetsOut: ReadonlySet<string>;
	/** Failure domains that operators have declared switched off. */
	readonly domainsLost: ReadonlySet<string>;
};
