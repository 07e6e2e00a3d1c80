import {leaseExpiry, type LeaseTiming} from '@bluebellyard/core';

/** Time for which a leader that can't reach the store goes on renewing what was granted, in milliseconds. */
export const leaderGraceMs = 12_000;

/** How a term began. */
export type TermStart = {
	readonly now: number;
	/** Whether somebody led before, be it a former process of this very instance. */
	readonly hadLeader: boolean;
};

/**
 * Leaders before the present one whose grants may not have lapsed yet. One that was cut off may grant until its
 * grace ends, also when others led after it.
 */
export class FormerLeaders {
	private readonly ends: Map<string, number>;
	private readonly ownEnd: number;
	private readonly timing: LeaseTiming;

	constructor(names: readonly string[], timing: LeaseTiming, {now, hadLeader}: TermStart) {
		this.timing = timing;
		this.ends = new Map(names.map(name => [name, leaseExpiry(now + leaderGraceMs, timing)]));
		// A former process of this instance grants nothing more, but its last grants may just have been sent.
		this.ownEnd = hadLeader ? leaseExpiry(now, timing) : Number.NEGATIVE_INFINITY;
	}

	/** Monotonic time at which all of their grants have surely lapsed. */
	get leaseEnd(): number {
		return Math.max(this.ownEnd, ...this.ends.values());
	}

	/** Takes note that an instance follows the present leader, or has a new process: it grants nothing from now on. */
	markFollowing(name: string, now: number): void {
		const end = this.ends.get(name);
		if (end !== undefined) {
			this.ends.set(name, Math.min(end, leaseExpiry(now, this.timing)));
		}
	}
}
