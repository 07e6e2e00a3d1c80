import type {SharedPoolSimulation, SimRequest} from './shared-pool-simulation.js';

/** Way in which requests for a shared pool reach its targets. */
export abstract class Dispatcher {
	protected readonly simulation: SharedPoolSimulation;

	constructor(world: SharedPoolSimulation) {
		this.simulation = world;
	}

	/** Takes a request at the instance that received it. */
	abstract send(req: SimRequest): void;
}
