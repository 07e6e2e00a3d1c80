/** Durations of the ownership protocol, in milliseconds unless said otherwise. */
export type Timing = {
	/** Between two heartbeats to the same instance. */
	readonly heartbeatMs: number;
	/** Silence after which an instance is suspected. */
	readonly suspectMs: number;
	/** R: how long one vouch lets an instance act. */
	readonly rightMs: number;
	/** D: how long a failure domain without outside contact goes on; `Infinity` for ever. */
	readonly isolationMs: number;
	/** Lease of a target. */
	readonly leaseMs: number;
	/** Largest relative difference between the rates of two clocks, such as 0.01. */
	readonly drift: number;
};

/** Timing for a deployment within one region. */
export const defaultTiming: Timing = {
	heartbeatMs: 100,
	suspectMs: 300,
	rightMs: 300,
	isolationMs: 15_000,
	leaseMs: 500,
	drift: 0.01,
};

/** Lease renewals within one lease. */
export const renewalsPerLease = 3;

/** Time by which a span measured elsewhere may be longer on this clock. */
export function withDriftMargin(ms: number, timing: Timing): number {
	return ms * (1 + (2 * timing.drift));
}

/** Between two renewals of a lease. */
export function leaseRenewalIntervalMs(timing: Timing): number {
	return timing.leaseMs / renewalsPerLease;
}
