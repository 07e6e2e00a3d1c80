/** Durations of the ownership protocol in milliseconds. */
export type Timing = {
	/** Interval between two heartbeats to the same instance. */
	readonly heartbeatMs: number;
	/** Silence after which an instance is suspected. */
	readonly suspectMs: number;
	/** Duration of the right to act after one vouch. */
	readonly rightMs: number;
	/** Time for which a failure domain without contact to others continues to act; `Infinity` for no limit. */
	readonly isolationMs: number;
	/** Duration of a target's lease. */
	readonly leaseMs: number;
	/** Largest relative difference between the rates of two clocks, such as 0.01 for 1%. */
	readonly drift: number;
};

/** Default timing, for a deployment within one region. */
export const defaultTiming: Timing = {
	heartbeatMs: 100,
	suspectMs: 300,
	rightMs: 300,
	isolationMs: 15_000,
	leaseMs: 500,
	drift: 0.01,
};

/** Number of renewals within the duration of one lease. */
export const renewalsPerLease = 3;

/** Returns the longest time on this clock, in milliseconds, that a span of `ms` measured on another clock may take. */
export function withDriftMargin(ms: number, timing: Timing): number {
	return ms * (1 + (2 * timing.drift));
}

/** Returns the interval between two renewals of a lease in milliseconds. */
export function leaseRenewalIntervalMs(timing: Timing): number {
	return timing.leaseMs / renewalsPerLease;
}
