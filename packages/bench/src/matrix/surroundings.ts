import type {Effect, Mutation, Timing} from '@bluebellyard/core';
import type {FakeLog} from './fake-log.js';
import type {FakeTarget} from './fake-target.js';
import type {Host} from './host.js';
import type {Network} from './network.js';
import type {Site} from './site.js';
import type {Watcher} from './watcher.js';

/** Parts of a simulation that its instances and callers share. */
export type Surroundings = {
	readonly network: Network;
	readonly log: FakeLog;
	readonly logSite: Site;
	readonly watcher: Watcher;
	readonly timing: Timing;
	readonly mutations: ReadonlySet<Mutation>;
	/** Current incarnation of each instance, by instance name. */
	readonly hosts: Map<string, Host>;
	readonly targets: Map<string, FakeTarget>;
	/** Called before each effect is run. */
	readonly onEffect: (host: Host, effect: Effect) => void;
	/** Called before each order is sent. */
	readonly onOrder: (host: Host, target: string) => void;
	/** Called before each snapshot chunk is written. */
	readonly onSnapshot: (host: Host) => void;
};
