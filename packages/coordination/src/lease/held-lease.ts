/** The holder's view of a lease. Times are milliseconds of the holder's monotonic clock. */
export class HeldLease {
	private readonly driftShare: number;
	private end = -Infinity;

	/** `driftShare` is the largest rate error of any clock, as a fraction: 0.01 is one percent. */
	constructor(driftShare: number) {
		this.driftShare = driftShare;
	}

	/**
	 * Extends the lease by a renewal of `leaseMs` that answers a message which the holder sent at `askedAt`. Never
	 * shortens the lease. The time of arrival must not be used: a holder that was frozen reads a renewal that
	 * ended long ago as if it had just arrived.
	 */
	renew(askedAt: number, leaseMs: number): void {
		this.end = Math.max(this.end, askedAt + (leaseMs * (1 - this.driftShare)));
	}

	/** Ends the lease at once, because the holder gave it back. */
	release(): void {
		this.end = -Infinity;
	}

	/** Returns the time at which the lease ends. */
	until(): number {
		return this.end;
	}

	/** Returns whether the holder may act at `now`. Call it immediately before acting. */
	holds(now: number): boolean {
		return now < this.end;
	}
}
