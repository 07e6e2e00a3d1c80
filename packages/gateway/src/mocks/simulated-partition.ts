/** What a partition does to connections. */
export enum SimulatedPartition {
	/** Nothing is answered. */
	Silent = 'silent',
	/** Open connections are reset, new ones refused. */
	Reset = 'reset',
	/** Open connections survive, new ones are refused. */
	Half = 'half',
	/** Connections are accepted, and nothing is answered. */
	Unanswered = 'unanswered',
}
