/** Settings of a granted lease. Times are milliseconds of the grantor's clock. */
export type GrantedLeaseOptions = {
	/** Time for which the holder may act after it asked for a renewal. */
	readonly leaseMs: number;
	/** Longest time after sending at which an unanswered renewal may still arrive. */
	readonly transitMs: number;
	/** Largest rate error of any clock, as a fraction: 0.01 is one percent. */
	readonly driftShare: number;
};

/**
 * The grantor's view of a lease. It has two ends: work may be given to the
 * holder only before the earlier one (`usableUntil`), and the resource may be
 * granted to another holder only after the later one (`endsAt`).
 */
export class GrantedLease {
	private readonly options: GrantedLeaseOptions;
	private usableEnd = -Infinity;
	/** End of the lease by the renewals that are no longer pending. */
	private settledEnd = -Infinity;
	private readonly pending = new Set<number>();

	constructor(options: GrantedLeaseOptions) {
		this.options = options;
	}

	/** Records that a renewal is sent at `sentAt`. It counts as accepted until it is answered. */
	recordSent(sentAt: number): void {
		this.expirePending(sentAt);
		this.pending.add(sentAt);
	}

	/** Records that the renewal sent at `sentAt` was accepted and its answer received at `receivedAt`. */
	recordAccepted(sentAt: number, receivedAt: number): void {
		const {leaseMs, driftShare} = this.options;
		this.pending.delete(sentAt);
		this.usableEnd = Math.max(this.usableEnd, sentAt + (leaseMs * (1 - driftShare)));
		this.extendEnd(receivedAt);
	}

	/** Records that the renewal sent at `sentAt` was refused by the holder or was never sent. */
	recordRefused(sentAt: number): void {
		this.pending.delete(sentAt);
	}

	/** Returns the time before which the holder certainly has the lease. */
	usableUntil(): number {
		return this.usableEnd;
	}

	/** Returns the time from which the holder certainly has no lease, allowing for clock drift. */
	endsAt(): number {
		let end = this.settledEnd;
		for (const sentAt of this.pending) {
			end = Math.max(end, this.computeEnd(sentAt + this.options.transitMs));
		}

		return end;
	}

	/** Returns whether the resource may be granted to another holder at `now`. */
	hasEnded(now: number): boolean {
		return now >= this.endsAt();
	}

	private computeEnd(arrivedAt: number): number {
		return arrivedAt + (this.options.leaseMs * (1 + this.options.driftShare));
	}

	private extendEnd(arrivedAt: number): void {
		this.settledEnd = Math.max(this.settledEnd, this.computeEnd(arrivedAt));
	}

	private expirePending(now: number): void {
		for (const sentAt of this.pending) {
			const latestArrival = sentAt + this.options.transitMs;
			if (latestArrival <= now) {
				this.pending.delete(sentAt);
				this.extendEnd(latestArrival);
			}
		}
	}
}
