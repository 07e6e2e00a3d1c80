import type {
	Clock, EligibleOwner, KeyRates, LeaseTiming, OwnershipMap, RecentLoad,
} from '@bluebellyard/core';
import type {TargetControl, TargetRef} from '../ports/index.js';
import type {Telemetry} from '../telemetry/index.js';
import type {OwnerProcess} from './owner-process.js';

/** Options of `OwnershipManager`. */
export type OwnershipManagerOptions = {
	readonly service: string;
	readonly control: TargetControl;
	readonly clock: Clock;
	readonly timing: LeaseTiming;
	readonly telemetry: Telemetry;
	/** Writes a new map of owners. Resolves to it once it is in the store. */
	readonly write: (change: (fence: number) => OwnershipMap) => Promise<OwnershipMap>;
	/** Called when the owners to which requests are routed may have changed. */
	readonly onChange: () => void;
	/** Called after a write that failed, was outdated or has an unknown outcome; `reload` must follow. */
	readonly onFailedWrite: (err: unknown) => void;
	/** Returns the present or last known address of a target. */
	readonly findTarget: (owner: string) => TargetRef | undefined;
	/** Returns what is known of the process of an owner. */
	readonly findProcess: (owner: string) => OwnerProcess;
	/** Returns the monotonic time at which all grants of former leaders have certainly expired. */
	readonly inheritedLeaseEnd: () => number;
	/** Returns the monotonic time from which no grant of a former leader arrives at a target. */
	readonly inheritedArrivalEnd: () => number;
};

/** Input of a tick. */
export type TickInput = {
	/** Targets that may own keys. */
	readonly owners: readonly EligibleOwner[];
	/** Returns the load by key; called only when a plan is due. */
	readonly rates: () => KeyRates;
	/** Returns the load by key as measured over a short time; undefined if keys need not leave a surge at once. */
	readonly recentLoad?: () => RecentLoad | undefined;
	/** Whether keys may move to other owners; false while the store is unreachable. */
	readonly mayMove: boolean;
};
