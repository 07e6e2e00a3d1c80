import type {Clock, LeaseTiming} from '@bluebellyard/core';
import type {
	KeyedLog, OperatorFeed, TargetControl, TargetFeed,
} from '../ports/index.js';
import type {Telemetry} from '../telemetry/index.js';
import type {KnownInstancesOptions} from './known-instances.js';
import type {Report} from './messages.js';

/** Options of `Coordinator`. */
export type CoordinatorOptions = KnownInstancesOptions & {
	readonly log: KeyedLog;
	readonly operators: OperatorFeed;
	readonly targets: TargetFeed;
	readonly control: TargetControl;
	readonly clock: Clock;
	readonly telemetry: Telemetry;
	readonly timing: LeaseTiming;
	/** Processor time in cores below which an instance gets queues only if its domain has no larger one. */
	readonly minStewardCores?: number;
	/** Returns whether keys leave targets at once whose load surges. */
	readonly detectsSurges?: () => boolean;
	/** Whether the contacts of a leader bound its grants, here as leader and as the next one. */
	readonly usesContactBound: boolean;
	/** Interval at which each target writes its entry again, in milliseconds. */
	readonly heartbeatMs: number;
	/** Returns the measurements since the last call. */
	readonly report: () => Report;
};
