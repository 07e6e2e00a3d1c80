/** Settings of a right to act. */
export type RightOptions = {
	/** Longest time in milliseconds that an instance may act on one confirmation. */
	readonly rightMs: number;
	/** Longest time in milliseconds that an isolated domain continues to serve; `Infinity` for no bound. */
	readonly isolationMs: number;
	/** Largest rate error of any clock, as a fraction: 0.01 is one percent. */
	readonly driftShare: number;
};

/**
 * The right of one instance to act: a lease on its membership. It is valid while
 * a member of its own domain vouches for it and the domain is in contact with
 * other domains. All times are monotonic milliseconds of the instance's own
 * clock. A confirmation counts from the time at which the confirmed message was
 * sent, never from the time of its answer.
 */
export class Right {
	private readonly options: RightOptions;
	private vouchedAt = -Infinity;
	private contactAt = -Infinity;
	private isEvicted = false;

	constructor(options: RightOptions) {
		this.options = options;
	}

	/** Records that a heartbeat sent at `sentAt` was answered by a member of the same domain that has not folded an eviction of this instance. */
	recordVouch(sentAt: number): void {
		this.vouchedAt = Math.max(this.vouchedAt, sentAt);
	}

	/** Records that a heartbeat sent at `sentAt` was answered by a member of another domain that has the right to act. */
	recordContact(sentAt: number): void {
		this.contactAt = Math.max(this.contactAt, sentAt);
	}

	/** Records that a read sent at `sentAt` reached the end of the log and found no eviction of this instance. */
	recordLogConfirmation(sentAt: number): void {
		this.recordVouch(sentAt);
		this.recordContact(sentAt);
	}

	/** Records that a member of the same domain answered a heartbeat sent at `sentAt` and reported a contact that was `ageMs` old. */
	recordPeerContact(sentAt: number, ageMs: number): void {
		this.recordContact(sentAt - (ageMs * (1 + this.options.driftShare)));
	}

	/** Returns the age of the last contact in milliseconds at `now`, as reported to peers. */
	contactAge(now: number): number {
		return now - this.contactAt;
	}

	/** Records that the eviction of this incarnation was folded. It ends the right permanently. */
	recordEviction(): void {
		this.isEvicted = true;
	}

	/** Returns the time at which the right ends unless it is confirmed again. */
	until(): number {
		if (this.isEvicted) {
			return -Infinity;
		}

		const {rightMs, isolationMs, driftShare} = this.options;
		const vouchedUntil = this.vouchedAt + (rightMs * (1 - driftShare));
		const contactUntil = this.contactAt === -Infinity
			? -Infinity
			: this.contactAt + (isolationMs * (1 - driftShare));
		return Math.min(vouchedUntil, contactUntil);
	}

	/** Returns whether the instance may act at `now`. */
	holds(now: number): boolean {
		return now < this.until();
	}
}
