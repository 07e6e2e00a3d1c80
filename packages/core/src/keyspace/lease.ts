/** Largest error of a target's clock, as a share: two percent are promised, one more is for our own clock. */
const driftShare = 0.03;

/** Timing of the grants of one deployment, in milliseconds. */
export type LeaseTiming = {
	/** Time for which a grant lets a target run requests for the granted keys. */
	readonly leaseMs: number;
	/** Time after which a grant that got no answer is cut off; it can't arrive later. */
	readonly transitMs: number;
};

/** Time at which a grant sent at `sentAt` has surely lapsed, wherever it was held up. */
export function leaseExpiry(sentAt: number, {leaseMs: holdMs, transitMs}: LeaseTiming): number {
	return sentAt + transitMs + (holdMs * (1 + driftShare));
}
