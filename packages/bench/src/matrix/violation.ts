/** Invariants that are checked in every cell. */
export enum Invariant {
	/** No two targets work on the same shard at the same time. */
	OneOwner = 'one-owner',
	/** No two targets that check fences hold a lease on the same shard. */
	OneGrant = 'one-grant',
	/** A steward sends no order after a later steward of the target has sent one. */
	OneSteward = 'one-steward',
	/** All members accept and reject the same log records and fold them into the same tables. */
	SameFold = 'same-fold',
	/** A record that was reported as accepted is in the log, and every fold accepts it. */
	AcceptedSurvives = 'accepted-survives',
	/** No instance goes back to an older configuration, and the newest accepted one is in force everywhere at the end. */
	ConfigInForce = 'config-in-force',
	/** A request that is not idempotent runs at most once. */
	AtMostOnce = 'at-most-once',
	/** An attempt that was answered as not run did not run. */
	HonestRefusal = 'honest-refusal',
	/** A target taken out of service receives no new orders after a grace period. */
	OutIsOut = 'out-is-out',
	/** No instance that all others can reach is evicted. */
	NoNeedlessEviction = 'no-needless-eviction',
	/** Every shard is served again after the faults have ended. */
	Liveness = 'liveness',
}

/** A violation of an invariant. The first one ends the cell. */
export type Violation = {
	readonly invariant: Invariant;
	/** Simulation time in milliseconds. */
	readonly at: number;
	readonly detail: string;
};
