import type {SharedWorld, SimRequest} from './shared-world.js';

/** Strategy for sending the requests of a shared pool to its targets. */
export abstract class Dispatch {
	protected readonly world: SharedWorld;

	constructor(world: SharedWorld) {
		this.world = world;
	}

	/** Sends a request from the instance that received it. */
	abstract send(req: SimRequest): void;
}
