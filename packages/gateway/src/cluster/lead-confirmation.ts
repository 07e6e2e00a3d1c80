/**
 * Keeps a leader confirmed: asks the store at intervals whether another
 * instance leads, and claims the lead again when the store has returned from an
 * older copy, which may have lost the record of this leader.
 */
import {leaseExpiry, type Clock, type LeaseTiming} from '@bluebellyard/core';
import {StaleAppendError} from '../ports/index.js';
import type {Telemetry} from '../telemetry/index.js';
import type {NodeInfo} from '../view/index.js';
import {maxClockDifference} from './contact-proof.js';
import {
	FormerLeaders, leaderGraceMs, type SendEnds, type TermStart,
} from './former-leaders.js';
import type {LastContacts} from './last-contacts.js';
import {LeaderContacts, type ContactStatement} from './leader-contacts.js';
import {compareLeaderships, type LeaderRecord, type Leadership} from './leader-record.js';
import type {Pong} from './messages.js';
import type {OwnerLog, OwnerState} from './owner-log.js';

/** Interval between two questions to the store, in milliseconds. */
const confirmIntervalMs = 1000;

/** Delay before a failed question is repeated, in milliseconds. */
const retryDelayMs = 250;

/**
 * Age of the confirmation up to which the contacts of a former leader bound its grants, in milliseconds: less than a
 * lease, so that a leader that is confirmed again after a return of the store can't renew beside this one.
 */
const maxBoundAgeMs = 2500;

/** The part of an answer to a ping that concerns the lead. */
export type FollowerPong = Leadership & Pick<Pong, 'incarnation' | 'stamp' | 'formerAgeMs'>;

/** Options of `LeadConfirmation`. */
export type LeadConfirmationOptions = {
	readonly record: LeaderRecord;
	/** Whether there was a leader before, which may have been a former process of this instance. */
	readonly hadLeader: boolean;
	/** What the last leader told of the leaders before it. */
	readonly knownEnds?: SendEnds;
	/** Last contacts of the last leader, if it was certainly not alone when it was superseded. */
	readonly lastContacts?: LastContacts;
	/** Whether this leader sends grants only while it has contacts, and tells of them. */
	readonly usesContactBound: boolean;
	/** Monotonic time at which the lead was claimed; another instance may have been elected since. */
	readonly claimedAt: number;
	readonly ownerLog: OwnerLog;
	readonly clock: Clock;
	readonly telemetry: Telemetry;
	readonly timing: LeaseTiming;
	/** Resolves to the names of all other instances that are known or registered. */
	readonly listOtherInstances: () => Promise<readonly string[]>;
	/** Called with the content of the store each time that it was read again; this instance still leads. */
	readonly onReload: (state: OwnerState) => void;
	/**
	 * Called when the store has returned from an older copy and this instance has claimed the lead again. `mayRenew`
	 * states whether its own grants may be renewed meanwhile.
	 */
	readonly onReclaimed: (mayRenew: boolean) => void;
	/** Called when another instance has become leader. */
	readonly onSuperseded: () => void;
};

/** Record of a leader in the store, and what the leader may do by what it knows of the store. */
export class LeadConfirmation {
	private lead: LeaderRecord;
	private formers: FormerLeaders;
	private lastConfirmedAt: number;
	private isAsking = false;
	private mustConfirm = false;
	/** Time from which a question must have been asked for its answer to confirm this leader. */
	private askedFrom = Number.NEGATIVE_INFINITY;
	private mustReload = false;
	private nextAttemptAt = Number.NEGATIVE_INFINITY;
	private isStopped = false;
	/** Contacts with followers; undefined if they do not bound the grants. */
	private readonly contacts: LeaderContacts | undefined;
	private readonly startedAt: number;
	/** Whether the contacts of the last leader have bounded its grants, for the log. */
	private isBoundKnown = false;

	constructor(private readonly options: LeadConfirmationOptions) {
		const {record, clock, hadLeader, knownEnds, lastContacts, claimedAt, usesContactBound} = options;
		this.lead = record;
		this.startedAt = clock.now();
		this.lastConfirmedAt = claimedAt;
		this.contacts = usesContactBound ? new LeaderContacts(this.startedAt) : undefined;
		this.formers = this.startWaiting({hadLeader, knownEnds, lastContacts});
	}

	/** Leadership in the present era of the store. */
	get leadership(): Leadership {
		const {era, term} = this.lead;
		return {era, term};
	}

	/** Monotonic time of the last question that the store answered with this leader. */
	get confirmedAt(): number {
		return this.lastConfirmedAt;
	}

	/** Monotonic time at which all grants of former leaders have certainly expired. */
	get formerLeaseEnd(): number {
		return this.mayUseBound ? this.formers.confirmedLeaseEnd : this.formers.leaseEnd;
	}

	/** Latest times at which the former leaders may send a grant. */
	get formerSendEnds(): SendEnds {
		return this.formers.sendEnds;
	}

	/** Monotonic time from which no grant of a former leader arrives at a target. */
	get formerArrivalEnd(): number {
		return this.mayUseBound ? this.formers.confirmedArrivalEnd : this.formers.arrivalEnd;
	}

	/** Whether the store must be asked before anything is written. */
	get isInDoubt(): boolean {
		return this.mustConfirm || this.mustReload || !this.isInPresentEra;
	}

	/** Whether the store is in the era in which this instance last claimed the lead. */
	get isInPresentEra(): boolean {
		return this.options.ownerLog.newestEra === this.lead.era;
	}

	/** Returns whether owners may hold keys by records that the store has lost and this leader does not know. */
	isWaitingForLostGrants(now: number): boolean {
		return this.lead.isRecovering && now < this.formerLeaseEnd;
	}

	/** Returns whether this leader may send grants: it has been confirmed recently enough, and has followers or is alone if contacts bound its grants. */
	mayGrant(now: number): boolean {
		return !this.mustConfirm && now - this.lastConfirmedAt < leaderGraceMs && this.hasContacts(now);
	}

	/** Returns what a ping that is sent now tells of this leader's contacts; undefined if it may not tell anything. */
	createContactStatement(): ContactStatement | undefined {
		// After a return of the store instances may be known here that the register has lost.
		return this.lead.era === this.options.record.era ? this.contacts?.createStatement(this.options.clock.now()) : undefined;
	}

	/** Stops grants until the store and a follower answer: a clock made a step, so this process may have been suspended. */
	recordClockStep(): void {
		this.requireConfirmation();
		this.contacts?.forget(this.options.clock.now());
	}

	/** Stops grants until the store answers a question asked from now on; another instance may have led since an earlier one. */
	requireConfirmation(): void {
		this.mustConfirm = true;
		this.askedFrom = this.options.clock.now();
	}

	/** Reads the store again, after a write that failed. Grants stop if it was rejected as stale, since another instance may lead. */
	handleFailedWrite(err: unknown): void {
		this.mustReload = true;
		if (err instanceof StaleAppendError) {
			this.requireConfirmation();
		}
	}

	/** Records that the store answered a question which was asked at `askedAt`, and that this instance led then. */
	recordConfirmation(askedAt: number): void {
		const {clock, telemetry} = this.options;
		if (askedAt < this.askedFrom) {
			return;
		}

		if (this.mustConfirm) {
			telemetry.info('leader', 'The store confirmed that this instance leads.', {term: this.lead.term, askedMsAgo: Math.round(clock.now() - askedAt)});
		}

		this.lastConfirmedAt = Math.max(this.lastConfirmedAt, askedAt);
		this.contacts?.recordConfirmation(askedAt, clock.now());
		this.mustConfirm = false;
	}

	/** Records the answer to a ping that was sent at `sentAt`. An instance that follows this leader sends no grants from now on, and none to an earlier leader. */
	recordFollower(name: string, pong: FollowerPong, sentAt: number): void {
		if (compareLeaderships(pong, this.lead) !== 0) {
			return;
		}

		const {clock, lastContacts} = this.options;
		const now = clock.now();
		this.formers.markFollowing(name, now);
		this.contacts?.recordAnswer(name, {incarnation: pong.incarnation, isRegistered: pong.stamp !== undefined, sentAt}, now);
		lastContacts?.recordFollower(name, now - ((pong.formerAgeMs ?? 0) * (1 - maxClockDifference)));
		this.reportBound(now);
	}

	/** Records a process that announced itself or is in the register. One that was not known before may have led in records that the store has lost. */
	recordInstance(name: string, incarnation: string): void {
		this.contacts?.add(name, incarnation, this.options.clock.now());
		if (this.lead.isRecovering) {
			this.formers.add(name);
		}
	}

	/** Records the other processes in the view of the leader before, which this leader asks as followers, too. */
	recordView(nodes: readonly NodeInfo[]): void {
		for (const {name, incarnation} of nodes) {
			this.contacts?.addFromView(name, incarnation, this.startedAt);
		}
	}

	/** Records the other instances in the register, as read after the election. */
	recordRegister(names: readonly string[]): void {
		const {lastContacts, clock} = this.options;
		lastContacts?.setInstances(names);
		this.reportBound(clock.now());
	}

	/** Asks the store, if that is due, whether this instance still leads. */
	async confirm(): Promise<void> {
		const {clock, ownerLog, telemetry} = this.options;
		const askedAt = clock.now();
		const isDue = this.isInDoubt ? askedAt >= this.nextAttemptAt : askedAt - this.lastConfirmedAt >= confirmIntervalMs || this.contacts?.isConfirmationDue(askedAt) === true;
		if (this.isAsking || !isDue) {
			return;
		}

		this.isAsking = true;
		try {
			if (!this.mustReload && this.isInPresentEra && await ownerLog.isUnchanged()) {
				this.recordConfirmation(askedAt);
			} else {
				await this.reload();
			}
		} catch (err) {
			this.nextAttemptAt = clock.now() + retryDelayMs;
			telemetry.warn('leader', 'The store could not be asked which instance leads.', {err, ageMs: Math.round(clock.now() - this.lastConfirmedAt)});
		} finally {
			this.isAsking = false;
		}
	}

	/**
	 * Records in the store that grants of former leaders, and those in records that the store has lost, have expired.
	 * Resolves to whether the record was written.
	 */
	async clearFormerLeaders(): Promise<boolean> {
		const {ownerLog, telemetry} = this.options;
		const record = {...this.lead, formers: [], isRecovering: false};
		try {
			await ownerLog.updateLeader(record);
			this.lead = record;
			return true;
		} catch (err) {
			telemetry.warn('leader', 'The former leaders could not be removed from the record of the leader.', {err});
			this.handleFailedWrite(err);
			return false;
		}
	}

	/** Ends the term. */
	stop(): void {
		this.isStopped = true;
	}

	private hasContacts(now: number): boolean {
		return this.contacts?.mayGrant(now) ?? true;
	}

	private get mayUseBound(): boolean {
		return this.isInPresentEra && this.options.clock.now() - this.lastConfirmedAt < maxBoundAgeMs;
	}

	private startWaiting(start: Omit<TermStart, 'now'>): FormerLeaders {
		const {clock, timing} = this.options;
		return new FormerLeaders(this.lead.formers, timing, {...start, now: clock.now()});
	}

	private reportBound(now: number): void {
		const {lastContacts, telemetry} = this.options;
		if (this.isBoundKnown || lastContacts === undefined || !Number.isFinite(lastContacts.sendEnd)) {
			return;
		}

		this.isBoundKnown = true;
		telemetry.info('leader', 'All instances that the former leader may count follow; its grants end with its contacts.', {
			former: lastContacts.leader,
			sendEndMs: Math.round(lastContacts.sendEnd - this.startedAt),
			afterMs: Math.round(now - this.startedAt),
			waitMs: Math.round(this.formerLeaseEnd - this.startedAt),
			term: this.lead.term,
		});
	}

	/** Reads leader and owners again. */
	private async reload(): Promise<void> {
		const {ownerLog, clock, onSuperseded, onReload} = this.options;
		const askedAt = clock.now();
		const state = await ownerLog.read();
		if (this.isStopped) {
			return;
		}

		if (this.isSupersededIn(state)) {
			onSuperseded();
			return;
		}

		if (state.era !== this.lead.era) {
			await this.reclaim(state, askedAt);
		} else if (this.isNamedIn(state)) {
			ownerLog.adopt(state);
		} else {
			// A claim of an earlier era was carried out late. Its writer knows that the store is in another era.
			await ownerLog.claimLead(this.lead, state);
		}

		this.mustReload = false;
		this.recordConfirmation(askedAt);
		onReload(state);
	}

	private isNamedIn({leader}: OwnerState): boolean {
		return leader?.incarnation === this.lead.incarnation && compareLeaderships(leader, this.lead) === 0;
	}

	private isSupersededIn({leader}: OwnerState): boolean {
		return leader !== undefined && leader.incarnation !== this.lead.incarnation && compareLeaderships(leader, this.lead) >= 0;
	}

	/**
	 * Claims the lead in the present era; waits for all other instances, since any of them may have led in lost records.
	 * Such a leader waits for this one's grants, but no longer than its grace and a lease, or than its last contacts and a
	 * lease. A leader that was confirmed less than a lease ago and has contacts renews its grants before that wait can have ended.
	 */
	private async reclaim(state: OwnerState, askedAt: number): Promise<void> {
		const {ownerLog, telemetry, timing, listOtherInstances, onReclaimed} = this.options;
		const mayRenew = askedAt - this.lastConfirmedAt < leaseExpiry(0, timing) && this.hasContacts(askedAt);
		const formers = new Set([...this.lead.formers, ...await listOtherInstances()]);
		const record = {
			...this.lead, era: state.era, formers: [...formers], isRecovering: true,
		};
		telemetry.info('leader', 'The store returned from an older copy; claiming the lead again.', {
			era: state.era, formerEra: this.lead.era, term: record.term, recordedTerm: state.leader?.term, end: state.end, mayRenew,
		});
		await ownerLog.claimLead(record, state);
		this.lead = record;
		this.formers = this.startWaiting({hadLeader: true});
		onReclaimed(mayRenew);
	}
}
