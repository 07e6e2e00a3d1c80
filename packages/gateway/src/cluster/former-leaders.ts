import {leaseExpiry, type LeaseTiming} from '@bluebellyard/core';

/** Time for which a leader that can't reach the store still renews existing grants, in milliseconds. */
export const leaderGraceMs = 12_000;

/** Circumstances in which a term began. */
export type TermStart = {
	/** Monotonic time of the start. */
	readonly now: number;
	/** Whether there was a leader before, which may have been a former process of this instance. */
	readonly hadLeader: boolean;
};

/**
 * Former leaders whose grants may not have expired yet. One that lost its connections may send grants until
 * `leaderGraceMs` has passed, even if other leaders came after it.
 */
export class FormerLeaders {
	private readonly leaseEnds: Map<string, number>;
	private readonly ownLeaseEnd: number;
	private readonly timing: LeaseTiming;

	constructor(names: readonly string[], timing: LeaseTiming, {now, hadLeader}: TermStart) {
		this.timing = timing;
		this.leaseEnds = new Map(names.map(name => [name, leaseExpiry(now + leaderGraceMs, timing)]));
		// A former process of this instance sends no more grants, but it may have sent the last ones immediately before this start.
		this.ownLeaseEnd = hadLeader ? leaseExpiry(now, timing) : Number.NEGATIVE_INFINITY;
	}

	/** Monotonic time at which all grants of former leaders have certainly expired. */
	get leaseEnd(): number {
		return Math.max(this.ownLeaseEnd, ...this.leaseEnds.values());
	}

	/** Adds an instance that may have led unless it is known already. */
	add(name: string, now: number): void {
		if (!this.leaseEnds.has(name)) {
			this.leaseEnds.set(name, leaseExpiry(now + leaderGraceMs, this.timing));
		}
	}

	/** Records that an instance follows the present leader or has restarted, so that it sends no grants from now on. */
	markFollowing(name: string, now: number): void {
		const end = this.leaseEnds.get(name);
		if (end !== undefined) {
			this.leaseEnds.set(name, Math.min(end, leaseExpiry(now, this.timing)));
		}
	}
}
