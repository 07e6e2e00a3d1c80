import {leaseExpiry, type LeaseTiming} from '@bluebellyard/core';
import type {LastContacts} from './last-contacts.js';

/** Time for which a leader that can't reach the store still renews existing grants, in milliseconds. */
export const leaderGraceMs = 12_000;

/** Latest times at which former leaders may send a grant, by their names, as monotonic times of this process in milliseconds. */
export type SendEnds = ReadonlyMap<string, number>;

/** Circumstances in which a term began. */
export type TermStart = {
	/** Monotonic time of the start. */
	readonly now: number;
	/** Whether there was a leader before, which may have been a former process of this instance. */
	readonly hadLeader: boolean;
	/** What the last leader told of the leaders before it. Without it, all of them may send grants as long as the last one. */
	readonly knownEnds?: SendEnds;
	/** Last contacts of the last leader, if it was certainly not alone at the start. */
	readonly lastContacts?: LastContacts;
};

/**
 * Former leaders, and instances that may have led in records that the store has lost, whose grants may not have
 * expired yet. One that lost its connections may send grants until
 * `leaderGraceMs` has passed, even if other leaders came after it.
 */
export class FormerLeaders {
	/** Latest time at which a former leader may send a grant, by its name. */
	private readonly ends: Map<string, number>;
	private readonly ownSendEnd: number;
	private readonly timing: LeaseTiming;
	private readonly startedAt: number;

	private readonly lastContacts: LastContacts | undefined;

	constructor(names: readonly string[], timing: LeaseTiming, {now, hadLeader, knownEnds, lastContacts}: TermStart) {
		this.timing = timing;
		this.lastContacts = lastContacts;
		this.startedAt = now;
		this.ends = new Map(names.map(name => [name, Math.min(now + leaderGraceMs, knownEnds?.get(name) ?? Number.POSITIVE_INFINITY)]));
		// A former process of this instance sends no more grants, but it may have sent the last ones immediately before this start.
		this.ownSendEnd = hadLeader ? now : Number.NEGATIVE_INFINITY;
	}

	/** Monotonic time at which all grants of former leaders have certainly expired. */
	get leaseEnd(): number {
		return leaseExpiry(this.sendEnd, this.timing);
	}

	/** Monotonic time from which no grant of a former leader arrives at a target. */
	get arrivalEnd(): number {
		return this.sendEnd + this.timing.transitMs;
	}

	/**
	 * The same as `leaseEnd`, but a former leader counts no longer than its contacts. Only while the store confirms this
	 * leader: after a return of the store from an older copy the former leader may have been confirmed again.
	 */
	get confirmedLeaseEnd(): number {
		return leaseExpiry(this.confirmedSendEnd, this.timing);
	}

	/** The same as `arrivalEnd`, under the condition of `confirmedLeaseEnd`. */
	get confirmedArrivalEnd(): number {
		return this.confirmedSendEnd + this.timing.transitMs;
	}

	/** Latest times at which the former leaders may send a grant. Those by their contacts are left out, as the receiver does not know the condition. */
	get sendEnds(): SendEnds {
		return this.ends;
	}

	/** Adds an instance that may have led before the start unless it is known already. */
	add(name: string): void {
		if (!this.ends.has(name)) {
			this.ends.set(name, this.startedAt + leaderGraceMs);
		}
	}

	/** Records that an instance follows the present leader or has restarted, so that it sends no grants from now on. */
	markFollowing(name: string, now: number): void {
		const end = this.ends.get(name);
		if (end !== undefined) {
			this.ends.set(name, Math.min(end, now));
		}
	}

	private get confirmedSendEnd(): number {
		const {lastContacts} = this;
		const ends = [...this.ends].map(([name, end]) => name === lastContacts?.leader ? Math.min(end, lastContacts.sendEnd) : end);
		return Math.max(this.ownSendEnd, ...ends);
	}

	private get sendEnd(): number {
		return Math.max(this.ownSendEnd, ...this.ends.values());
	}
}
