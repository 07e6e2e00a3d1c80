/**
 * Source of time that is passed to every time-dependent part.
 */
export type Clock = {
	/** Returns monotonic time in milliseconds from an unspecified origin. */
	now(): number;
	/** Returns wall-clock time, which is only for records and logs, never for leases. */
	date(): Date;
};

/** Clock of this process, based on `performance.now` and `Date`. */
export const systemClock: Clock = {
	now: () => performance.now(),
	date: () => new Date(),
};
