/** Clock passed to every time-dependent class. */
export type Clock = {
	/** Returns monotonic time in milliseconds, with an unspecified origin. */
	now(): number;
	/** Returns wall-clock time. For records and logs only, never for leases. */
	date(): Date;
};
