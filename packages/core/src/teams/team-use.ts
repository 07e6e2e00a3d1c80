/** Use of one team at one instance since its process started. */
export type TeamUse = readonly [team: string, admitted: number, offeredPerSecond: number];

/** What one instance reports about the use of teams with a limit. Reports carry totals, so that lost and repeated ones do no harm. */
export type TeamUseReport = {
	/** Number of the report; rises by 1 with each report of a process. */
	readonly seq: number;
	/** Whether all teams with any use since the start of the process are in it, as in the first reports to each leader. */
	readonly isFull: boolean;
	readonly uses: readonly TeamUse[];
};

/** A published ceiling for each instance, in requests per second. */
export type TeamCeiling = readonly [team: string, perSecond: number];
