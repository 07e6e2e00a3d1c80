/** What speaks against a path to the targets. */
export enum PathEvidence {
	/** A connect got no answer in time. */
	ConnectTimeout = 'connect-timeout',
	/** A connect was refused, or failed in another way than by a timeout. */
	ConnectFailed = 'connect-failed',
	/** A request on a connection got no response in time. */
	Overdue = 'overdue',
	/** A connection ended with a request on it. */
	Reset = 'reset',
	/** A connection was accepted, and a check on it got no byte in time. */
	Unanswered = 'unanswered',
}

/** Returns whether the evidence is a connect that failed; it says nothing about connections that are open. */
export function isFailedConnect(evidence: PathEvidence): boolean {
	return evidence === PathEvidence.ConnectTimeout || evidence === PathEvidence.ConnectFailed;
}
