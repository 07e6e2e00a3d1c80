/**
 * Configuration of the gateway as the core sees it, wherever it was published.
 */
import type {Repeat} from '../rules/index.js';

/** One part of a split. */
export type WeightedService = {
	readonly service: string;
	/** Share of the requests in relation to the other parts. */
	readonly weight: number;
};

/** Sends the requests of a host and path prefix to services. */
export type HostRoute = {
	readonly name: string;
	readonly host: string;
	/** Begins and ends with a slash. */
	readonly prefix: string;
	readonly repeat: Repeat;
	/** Longest time that a caller is kept waiting, in milliseconds. */
	readonly timeoutMs: number;
	/** Time within which an answer is of full use, in milliseconds. */
	readonly objectiveMs: number;
	/** Rank; 0 is the most urgent. */
	readonly priority: number;
	/** Targets to which one request may be sent. */
	readonly maxTargets: number;
	/** At least one. */
	readonly services: readonly WeightedService[];
};

/** A group of targets that run the same requests. */
export type Service = {
	readonly name: string;
	/** Whether each key has one owner. */
	readonly isSharded: boolean;
	/** Connections that a target accepts from all instances together. */
	readonly maxConnections: number;
	/** Requests a second that a cold target bears. */
	readonly coldRate: number;
	/** Path of the health check. */
	readonly healthPath: string;
};

/** Limits on callers. */
export type CallerLimits = {
	readonly headerBytes: number;
	readonly bodyBytes: number;
	readonly headerTimeoutMs: number;
	readonly idleTimeoutMs: number;
};

/** Where a target stands. */
export enum TargetPhase {
	Ready = 'ready',
	Draining = 'draining',
}

/** One process life of a target. */
export type TargetInfo = {
	/** Unique among all process lives. */
	readonly id: string;
	/** Name that it answers to; may be used by several lives in turn. */
	readonly name: string;
	readonly service: string;
	/** IP number and port. */
	readonly addr: string;
	readonly domain: string;
	readonly slots: number;
	readonly phase: TargetPhase;
	/** Start of the process life, Unix milliseconds; 0 when not told. */
	readonly bornAt: number;
	/** Wall-clock independent: how much longer it is cold, in milliseconds, when it said so. */
	readonly coldLeftMs: number;
};
