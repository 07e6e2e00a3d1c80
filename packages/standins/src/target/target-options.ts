import {z} from 'zod';
import {commonFaults, noCommonFaults, type HostOptions} from '../host/index.js';
import type {ColdStartOptions} from './cold-start.js';
import {ServiceShape} from './service-time.js';

/** Kinds of targets. */
export enum TargetKind {
	/** Orders need a granted shard. */
	Keyed = 'keyed',
	/** Orders need no grant. */
	Shared = 'shared',
}

/** Settings of a target. */
export type TargetSettings = ColdStartOptions & {
	readonly name: string;
	readonly kind: TargetKind;
	/** Whether a keyed target checks fences and its lease. */
	readonly checksFences: boolean;
	/** Mean service time in milliseconds. */
	readonly serviceMs: number;
	readonly serviceShape: ServiceShape;
	/** Factor by which service times are longer when the target is completely cold. */
	readonly coldFactor: number;
	/** Size of the payload of an answer, in bytes. */
	readonly payloadBytes: number;
	/** Lag of the health and load reports, in milliseconds. */
	readonly reportLagMs: number;
	readonly seed: number;
	/** File to which the ledger is also written; empty for none. */
	readonly journalFile: string;
};

/** Optional settings of a target and its listen address. */
export type TargetOptions = HostOptions & Partial<TargetSettings>;

/** Default settings. */
export const defaultTargetSettings: TargetSettings = {
	name: 'target',
	kind: TargetKind.Keyed,
	checksFences: true,
	slots: 4,
	serviceMs: 2,
	serviceShape: ServiceShape.Exponential,
	coldRequests: 0,
	coldMs: 0,
	coldFactor: 1,
	fallOverAfter: 3,
	fallOverMs: 500,
	payloadBytes: 256,
	reportLagMs: 0,
	seed: 1,
	journalFile: '',
};

/** Schema of the fault switches of a target. */
export const targetFaults = commonFaults.extend({
	/** Whether the target handles nothing; received requests wait. */
	frozen: z.boolean(),
	/** Factor on service times. */
	slowFactor: z.number().positive(),
	/** Set to true to restart the target cold. */
	restartCold: z.boolean(),
	/** Set to true to make the target cold while it keeps its grants. */
	chill: z.boolean(),
	/** Number of coming answers that end early. */
	truncate: z.number().int().nonnegative(),
	/** Number of coming answers that are lost after the order ran. */
	loseAnswer: z.number().int().nonnegative(),
	/** False health to report; null to report the true one with its lag. */
	lieHealthy: z.boolean().nullable(),
	/** False number of running orders to report; null to report the true one with its lag. */
	lieRunning: z.number().int().nullable(),
});

/** Fault switches of a target. */
export type TargetFaults = z.infer<typeof targetFaults>;

/** All fault switches of a target switched off. */
export const noTargetFaults: TargetFaults = {
	...noCommonFaults,
	frozen: false,
	slowFactor: 1,
	restartCold: false,
	chill: false,
	truncate: 0,
	loseAnswer: 0,
	lieHealthy: null,
	lieRunning: null,
};
