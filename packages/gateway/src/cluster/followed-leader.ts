import type {Clock} from '@bluebellyard/core';
import type {NodeInfo} from '../view/index.js';
import {ContactProofs} from './contact-proof.js';
import type {SendEnds} from './former-leaders.js';
import {LastContacts} from './last-contacts.js';
import {compareLeaderships, type LeaderRecord, type Leadership} from './leader-record.js';
import {toSendEnds, type Ping, type Pong} from './messages.js';

/** Longest time since an answer to an earlier leader that an answer states, in milliseconds; longer than any wait for its grants. */
const maxFormerAgeMs = 20_000;

/** What an instance knows of the leader that it follows. All times are monotonic milliseconds of this process. */
export class FollowedLeader {
	/** Time of the last ping, at first that of the start. */
	lastPingAt: number;
	/** Leadership that this instance last followed; term 0 before the first one. */
	leadership: Leadership = {era: 0, term: 0};
	node: NodeInfo | undefined;
	/** Time since the leader reached the store, as of its last ping. */
	storeAgeMs = 0;
	/** Time of the leader's last successful read of the targets' records. */
	targetsReadAt: number | undefined;
	/** Time of the first ping of this leader. */
	since = Number.NEGATIVE_INFINITY;
	/** Until when the leaders before it may send grants. */
	formerSendEnds: SendEnds = new Map();
	/** Time at which this process last answered a ping as a follower, at first that of the start. */
	private answeredAt: number;
	/** The same for leaders before the present one. */
	private formerAnsweredAt: number;
	private proofs: ContactProofs;

	/** `usesContactBound` states whether this instance takes part in the bound of a leader's grants by its contacts. */
	constructor(private readonly clock: Clock, private readonly usesContactBound = true) {
		this.lastPingAt = clock.now();
		this.answeredAt = this.lastPingAt;
		this.formerAnsweredAt = this.lastPingAt;
		this.proofs = new ContactProofs(clock);
	}

	/**
	 * Records a ping, which is answered at once. Returns whether the leader is another one than before. A ping of an
	 * earlier leader has no effect, as later ones count on it that this instance does not answer it as its follower.
	 */
	recordPing(ping: Ping): boolean {
		if (compareLeaderships(ping, this.leadership) < 0) {
			return false;
		}

		const now = this.clock.now();
		const {era, term, leader, storeAgeMs, targetsAgeMs, formerEndsMs} = ping;
		const isNew = era !== this.leadership.era || term !== this.leadership.term || leader.name !== this.node?.name;
		if (isNew) {
			this.since = now;
			this.proofs = new ContactProofs(this.clock);
		}

		this.raiseLeadership({era, term});
		this.answeredAt = now;
		if (this.usesContactBound && ping.contact !== undefined) {
			this.proofs.record(ping.contact);
		}

		this.node = leader;
		this.lastPingAt = now;
		this.storeAgeMs = storeAgeMs;
		this.targetsReadAt = now - targetsAgeMs;
		this.formerSendEnds = toSendEnds(formerEndsMs, now);
		return isNew;
	}

	/** Records that the store names a leader that this instance has not heard of yet. An earlier one than the present one, from a late read, has no effect. */
	recordElected(leadership: Leadership): void {
		if (compareLeaderships(leadership, this.leadership) <= 0) {
			return;
		}

		this.raiseLeadership(leadership);
		this.lastPingAt = this.clock.now();
		this.storeAgeMs = 0;
		this.formerSendEnds = new Map();
	}

	/** Returns what an answer to a ping tells of this process; nothing without the bound. */
	describeAnswer(isRegistered: boolean): Pick<Pong, 'stamp' | 'formerAgeMs'> {
		if (!this.usesContactBound) {
			return {};
		}

		const formerAgeMs = Math.floor(this.clock.now() - this.formerAnsweredAt);
		return {
			...(isRegistered ? {stamp: this.proofs.createStamp()} : {}),
			...(formerAgeMs < maxFormerAgeMs ? {formerAgeMs} : {}),
		};
	}

	/** Returns the last contacts of the recorded leader that this instance has superseded just now; undefined if it may have been alone. */
	findLastContacts(superseded: LeaderRecord | undefined): LastContacts | undefined {
		const isFollowed = superseded !== undefined && !superseded.isRecovering
			&& superseded.incarnation === this.node?.incarnation && compareLeaderships(superseded, this.leadership) === 0;
		const proof = isFollowed ? this.proofs.find() : undefined;
		return proof && isFollowed ? new LastContacts({leader: superseded.name, answeredAt: this.answeredAt, absent: proof.absent}) : undefined;
	}

	private raiseLeadership(leadership: Leadership): void {
		if (compareLeaderships(leadership, this.leadership) > 0) {
			this.formerAnsweredAt = this.answeredAt;
			this.leadership = leadership;
		}
	}
}
