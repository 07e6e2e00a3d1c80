import type {Effect, Mutation, Timing} from '@bluebellyard/core';
import type {FakeLog} from './fake-log.js';
import type {FakeTarget} from './fake-target.js';
import type {SimulatedInstance} from './simulated-instance.js';
import type {Network} from './network.js';
import type {SimulatedNode} from './simulated-node.js';
import type {InvariantChecker} from './invariant-checker.js';

/** What the hosts of a cell share. */
export type SimulationContext = {
	readonly network: Network;
	readonly log: FakeLog;
	readonly logNode: SimulatedNode;
	readonly checker: InvariantChecker;
	readonly timing: Timing;
	readonly mutations: ReadonlySet<Mutation>;
	/** Running host by instance name. */
	readonly instances: Map<string, SimulatedInstance>;
	readonly targets: Map<string, FakeTarget>;
	/** Sees each effect before it is carried out. */
	readonly onEffect: (host: SimulatedInstance, effect: Effect) => void;
	/** Sees each order before it is written. */
	readonly onOrder: (host: SimulatedInstance, target: string) => void;
	/** Sees each snapshot chunk before it is written. */
	readonly onSnapshot: (host: SimulatedInstance) => void;
};
