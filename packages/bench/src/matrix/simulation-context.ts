import type {Effect, Mutation, Timing} from '@bluebellyard/core';
import type {FakeLog} from './fake-log.js';
import type {FakeTarget} from './fake-target.js';
import type {SimulatedInstance} from './simulated-instance.js';
import type {Network} from './network.js';
import type {SimulatedNode} from './simulated-node.js';
import type {InvariantChecker} from './invariant-checker.js';

/** Parts of a simulation that its instances and callers share. */
export type SimulationContext = {
	readonly network: Network;
	readonly log: FakeLog;
	readonly logNode: SimulatedNode;
	readonly checker: InvariantChecker;
	readonly timing: Timing;
	readonly mutations: ReadonlySet<Mutation>;
	/** Current incarnation of each instance, by instance name. */
	readonly instances: Map<string, SimulatedInstance>;
	readonly targets: Map<string, FakeTarget>;
	/** Called before each effect is run. */
	readonly onEffect: (instance: SimulatedInstance, effect: Effect) => void;
	/** Called before each order is sent. */
	readonly onOrder: (instance: SimulatedInstance, target: string) => void;
	/** Called before each snapshot chunk is written. */
	readonly onSnapshot: (instance: SimulatedInstance) => void;
};
