import type {SharedPoolSimulation, SimRequest} from './shared-pool-simulation.js';

/** Strategy for sending the requests of a shared pool to its targets. */
export abstract class Dispatcher {
	protected readonly simulation: SharedPoolSimulation;

	constructor(simulation: SharedPoolSimulation) {
		this.simulation = simulation;
	}

	/** Sends a request from the instance that received it. */
	abstract send(req: SimRequest): void;
}
