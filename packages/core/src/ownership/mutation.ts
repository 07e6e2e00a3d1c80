/** Deliberate violations of the protocol, which show that the fault matrix detects them. */
export enum Mutation {
	/** Assume that all clocks run at the same rate. */
	SkipDriftMargin = 'skip-drift-margin',
	/** Treat absence from the membership list as proof that an instance is lost. */
	TrustMembershipList = 'trust-membership-list',
	/** Move a shard without draining and revoking it. */
	MoveWithoutRelease = 'move-without-release',
	/** Act on a proposed record before it is read back. */
	AcceptBeforeReadBack = 'accept-before-read-back',
	/** Complete an eviction without confirmations. */
	EvictWithoutConfirmations = 'evict-without-confirmations',
	/** Declare a target lost without waiting for leases of the former steward to expire. */
	SkipLeaseWait = 'skip-lease-wait',
	/** Send an order without the final check of the right. */
	SkipLastCheck = 'skip-last-check',
	/** Continue to send orders while a record that transfers the target is pending. */
	OrderWhileGiving = 'order-while-giving',
	/** Vouch for an instance whose eviction is folded. */
	VouchForEvicted = 'vouch-for-evicted',
	/** Complete an eviction without waiting for the right to expire. */
	SkipRightWait = 'skip-right-wait',
	/** Assume that a lease renewal whose answer was lost did not reach the target. */
	IgnoreLostAnswers = 'ignore-lost-answers',
}
