import type {NodeInfo} from '../view/index.js';
import type {SendEnds} from './former-leaders.js';
import type {Leadership} from './leader-record.js';
import {toSendEnds, type Ping} from './messages.js';

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

	constructor(startedAt: number) {
		this.lastPingAt = startedAt;
	}

	/** Records a ping. Returns whether the leader is another one than before. */
	recordPing(ping: Ping, now: number): boolean {
		const {era, term, leader, storeAgeMs, targetsAgeMs, formerEndsMs} = ping;
		const isNew = era !== this.leadership.era || term !== this.leadership.term || leader.name !== this.node?.name;
		if (isNew) {
			this.since = now;
		}

		this.leadership = {era, term};
		this.node = leader;
		this.lastPingAt = now;
		this.storeAgeMs = storeAgeMs;
		this.targetsReadAt = now - targetsAgeMs;
		this.formerSendEnds = toSendEnds(formerEndsMs, now);
		return isNew;
	}

	/** Records that the store names a leader that this instance has not heard of yet. */
	recordElected(leadership: Leadership, now: number): void {
		this.leadership = leadership;
		this.lastPingAt = now;
		this.storeAgeMs = 0;
		this.formerSendEnds = new Map();
	}
}
