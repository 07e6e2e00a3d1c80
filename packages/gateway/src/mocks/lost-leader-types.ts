import type {ClockStepDetector} from '../cluster/clock-step-detector.js';
import type {FollowedLeader} from '../cluster/followed-leader.js';
import type {LeadConfirmation} from '../cluster/lead-confirmation.js';
import type {LeaderRecord} from '../cluster/leader-record.js';
import type {NetworkFaults} from './simulated-network.js';
import type {SimulatedProcess} from './simulated-process.js';

/** How the first leader is lost. */
export enum LeaderLoss {
	Removed = 'removed',
	Restarted = 'restarted',
	Frozen = 'frozen',
	/** Frozen while its monotonic clock stands still. */
	Suspended = 'suspended',
	/** It reaches nothing. */
	PartitionedAlone = 'partitioned alone',
	/** It reaches the store, but no instance. */
	PartitionedFromInstances = 'partitioned from the instances',
	PartitionedWithDomain = 'partitioned with its domain',
	PartitionedWithHalf = 'partitioned with half of the instances',
}

/** Faults of a run. */
export type LostLeaderOptions = NetworkFaults & {
	readonly seed: number;
	readonly loss: LeaderLoss;
	readonly instances: number;
	/** Whether instances join, restart and stand for election without need, and the store fails for some seconds. */
	readonly isRough: boolean;
	/** Share of the instances that do not use the bound by contacts, as those of an earlier version. */
	readonly offShare: number;
};

/** Entry of an instance in the register. */
export type Entry = {readonly name: string; readonly incarnation: string};

/** A process that takes part in elections. */
export type Instance = Entry & {
	readonly index: number;
	readonly process: SimulatedProcess;
	readonly followed: FollowedLeader;
	readonly known: Map<string, Entry>;
	readonly usesContactBound: boolean;
	isRegistered: boolean;
	electAt: number;
	isElecting: boolean;
	term: Term | undefined;
};

/** A term of leadership of one process. */
export type Term = {
	readonly confirmation: LeadConfirmation;
	readonly record: LeaderRecord;
	readonly steps: ClockStepDetector;
	readonly nextPingAt: Map<string, number>;
	readonly stamps: Map<string, number | undefined>;
	askedAt: number;
	hasCleared: boolean;
};
