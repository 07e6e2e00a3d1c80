/**
 * The contacts of a leader with its followers: whether it may send grants, and
 * what it tells its followers, so that the next leader knows how long it may.
 * See docs/design/lost-leader.md.
 */

/** Time after the send of an answered ping for which its answer counts as a contact, in milliseconds; two pings and their timeouts. */
export const contactLimitMs = 2000;

/**
 * Time without a contact after which a confirmation by the store makes a leader alone, in milliseconds. Longer than
 * an election after the last contact; short enough that a pause of the renewals from `contactLimitMs` on ends before leases do.
 */
export const aloneAfterMs = 4500;

/** Time without an answer after which an instance is declared absent, in milliseconds; longer than its last answer counts as a contact. */
const absentAfterMs = 3000;

/** Interval at which the leader looks for absent instances, in milliseconds; a leader of hundreds of instances sends a ping every few milliseconds. */
const absentCheckMs = 100;

/** What a leader tells in a ping. */
export type ContactStatement = {
	/** Upper bound of the time since its last contact, in milliseconds. It is not alone, and is not before `aloneAfterMs` without a contact. */
	readonly ageMs: number;
	/** Names of absent instances; left out if there are none. */
	readonly absent?: readonly string[];
};

/** An answer to a ping of the leader by one of its followers. */
export type FollowerAnswer = {
	readonly incarnation: string;
	/** Whether the process is in the register of instances. */
	readonly isRegistered: boolean;
	/** Monotonic time at which the ping was sent. */
	readonly sentAt: number;
};

type Contact = {
	incarnation: string;
	/** A question to the store must have been asked after this time, and confirmed, for the process to count: when it was known first, later if it registered after that, or after an absence. */
	countsFrom: number;
	/** When the last ping was sent that it answered. */
	sentAt: number;
	/** The same, or the time at which it was added if that is later. */
	lastSeenAt: number;
	/** Whether it answered that it is registered; undefined before its first answer. A process that is known without an answer has announced itself or is in the register. */
	isRegistered: boolean | undefined;
	isAbsent: boolean;
};

/** Decides by the answers of followers whether a leader may send grants. All times are monotonic milliseconds. */
export class LeaderContacts {
	private readonly contacts = new Map<string, Contact>();
	private confirmedAt = Number.NEGATIVE_INFINITY;
	/** Pings that were sent before this time give no contact. */
	private forgottenAt = Number.NEGATIVE_INFINITY;
	/** When the last ping was sent that a process that counts has answered; at first the start of the term. */
	private lastContactAt: number;
	/** Time from which the time without a contact counts. */
	private aloneSince: number;
	private isAlone = false;
	/** Names of the instances declared absent. */
	private absent: readonly string[] = [];
	private absentCheckedAt = Number.NEGATIVE_INFINITY;

	constructor(startedAt: number) {
		this.lastContactAt = startedAt;
		this.aloneSince = startedAt;
	}

	/** Adds a process, which is known at `now` at the latest. */
	add(name: string, incarnation: string, now: number): void {
		const known = this.contacts.get(name);
		if (known?.incarnation === incarnation) {
			return;
		}

		this.contacts.set(name, {
			incarnation,
			countsFrom: Math.max(now, known?.countsFrom ?? now),
			sentAt: Number.NEGATIVE_INFINITY,
			lastSeenAt: now,
			isRegistered: undefined,
			// The instance remains absent until it answers, also as another process.
			isAbsent: known?.isAbsent ?? false,
		});
	}

	/** Adds a process of an earlier leader's view, which may not be in the register in the present era: it counts from its first answer. */
	addFromView(name: string, incarnation: string, now: number): void {
		this.add(name, incarnation, now);
		this.contacts.get(name)!.isRegistered ??= false;
	}

	/** Records the answer of a follower. */
	recordAnswer(name: string, {incarnation, isRegistered, sentAt}: FollowerAnswer, now: number): void {
		this.add(name, incarnation, now);
		const contact = this.contacts.get(name)!;
		contact.sentAt = Math.max(contact.sentAt, sentAt);
		contact.lastSeenAt = Math.max(contact.lastSeenAt, sentAt);
		if (isRegistered && contact.isRegistered === false) {
			// The next leader may have read the register before the process wrote its entry.
			contact.countsFrom = Math.max(contact.countsFrom, now);
		}

		contact.isRegistered = contact.isRegistered === true || isRegistered;

		if (contact.isAbsent) {
			contact.isAbsent = false;
			contact.countsFrom = now + aloneAfterMs;
			this.absent = this.absent.filter(other => other !== name);
		}

		this.update(contact, now);
	}

	/** Records that the store confirmed the leader by a question asked at `askedAt`. */
	recordConfirmation(askedAt: number, now: number): void {
		this.confirmedAt = Math.max(this.confirmedAt, askedAt);
		for (const contact of this.contacts.values()) {
			this.update(contact, now);
		}

		if (askedAt >= this.aloneSince + aloneAfterMs) {
			this.isAlone = true;
		}
	}

	/** Forgets all contacts: the monotonic clock may have stood still, so that their ages are not known. */
	forget(now: number): void {
		this.forgottenAt = now;
		this.lastContactAt = Number.NEGATIVE_INFINITY;
		this.aloneSince = now;
	}

	/** Returns whether a leader that is confirmed by the store may send grants. */
	mayGrant(now: number): boolean {
		return this.contacts.size === 0 || this.isAlone || now - this.lastContactAt < contactLimitMs;
	}

	/** Returns whether a question to the store is due because the answer makes the leader alone. */
	isConfirmationDue(now: number): boolean {
		const from = this.aloneSince + aloneAfterMs;
		return this.contacts.size > 0 && !this.isAlone && now >= from && this.confirmedAt < from;
	}

	/** Returns the content of a ping that is sent now, and takes note of it; undefined if the leader is alone. */
	createStatement(now: number): ContactStatement | undefined {
		if (now - this.absentCheckedAt >= absentCheckMs) {
			this.absentCheckedAt = now;
			this.findAbsent(now);
		}

		if (this.isAlone) {
			return undefined;
		}

		const ageMs = Math.ceil(now - this.aloneSince);
		return this.absent.length === 0 ? {ageMs} : {ageMs, absent: this.absent};
	}

	private findAbsent(now: number): void {
		for (const contact of this.contacts.values()) {
			contact.isAbsent ||= now - contact.lastSeenAt > absentAfterMs;
		}

		this.absent = [...this.contacts].filter(([, {isAbsent}]) => isAbsent).map(([name]) => name);
	}

	/** Takes the last answer of a process as a contact if the process counts. */
	private update(contact: Contact, now: number): void {
		const isCounted = contact.isRegistered === true && contact.countsFrom < this.confirmedAt;
		if (!isCounted || contact.sentAt <= Math.max(this.lastContactAt, this.forgottenAt)) {
			return;
		}

		this.lastContactAt = contact.sentAt;
		this.aloneSince = Math.max(this.aloneSince, contact.sentAt);
		this.isAlone &&= now - contact.sentAt >= contactLimitMs;
	}
}
