/** Largest clock drift, as a share: two percent are guaranteed for the target's clock, one more allows for the instance's own clock. */
const maxDriftShare = 0.03;

/** Timing of the leases that grants give in one deployment, in milliseconds. */
export type LeaseTiming = {
	/** Time for which a target may run requests for the granted keys. */
	readonly leaseMs: number;
	/** Time after which an unanswered grant is aborted; it can't arrive later. */
	readonly transitMs: number;
};

/** Returns the time by which the lease of a grant sent at `sentAt` has expired at the target, whatever the delay of the grant and the drift of the clocks. */
export function leaseExpiry(sentAt: number, {leaseMs: holdMs, transitMs}: LeaseTiming): number {
	return sentAt + transitMs + (holdMs * (1 + maxDriftShare));
}
