/**
 * Configuration of the gateway, independent of its source.
 */
import type {Repeat} from '../rules/index.js';

/** One service of a weighted split. */
export type WeightedService = {
	readonly service: string;
	/** Share of the requests relative to the weights of the other services. */
	readonly weight: number;
};

/** Route of the requests of a host and path prefix to services. */
export type HostRoute = {
	readonly name: string;
	readonly host: string;
	/** Path prefix that begins and ends with a slash. */
	readonly prefix: string;
	readonly repeat: Repeat;
	/** Whether answers are much larger than those of other routes, up to some hundred kilobytes. */
	readonly hasLargeAnswers?: boolean;
	/** Whether callers need no key although there are teams. */
	readonly isPublic?: boolean;
	/** Longest time that a caller waits for its answer, in milliseconds. */
	readonly timeoutMs: number;
	/** Latency objective, in milliseconds. */
	readonly objectiveMs: number;
	/** 0 is the most urgent. */
	readonly priority: number;
	/** Largest number of targets to which one request may be sent. */
	readonly maxTargets: number;
	/** Services that receive the requests; at least one. */
	readonly services: readonly WeightedService[];
};

/** A group of targets that serve the same requests. */
export type Service = {
	readonly name: string;
	/** Whether each key has one owner. */
	readonly isSharded: boolean;
	/** Connections that a target accepts from all instances in total. */
	readonly maxConnections: number;
	/** Requests per second that a cold target can handle. */
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

/** Phase in the life of a target. */
export enum TargetPhase {
	Ready = 'ready',
	Draining = 'draining',
}

/** One incarnation of a target. */
export type TargetInfo = {
	/** Unique among all incarnations of all targets. */
	readonly id: string;
	/** Name of the target; successive incarnations may share it. */
	readonly name: string;
	readonly service: string;
	/** IP address and port. */
	readonly addr: string;
	readonly domain: string;
	readonly slots: number;
	/** Version of its software; undefined when not reported. */
	readonly version?: string;
	readonly phase: TargetPhase;
	/** Start time of the process, in Unix milliseconds; 0 when not reported. */
	readonly bornAt: number;
	/** Number of this record among those of the process; rises with each one, so that an older record is recognized. Undefined when not reported. */
	readonly recordSeq?: number;
	/** Reported time for which it remains cold, in milliseconds, so that wall clocks need not agree; 0 when not reported. */
	readonly coldLeftMs: number;
};
