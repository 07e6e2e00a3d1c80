import type {Buffer} from 'node:buffer';
import type {Clock} from '@bluebellyard/core';
import type {OperatorFeed} from '../ports/index.js';
import type {Telemetry} from '../telemetry/index.js';
import type {View} from '../view/index.js';
import {ConfigAge, ConfigSource} from './config-age.js';
import {DirectReader} from './direct-reader.js';
import {isSameState, unpackDelta, type Ping} from './messages.js';
import {ViewReplica} from './view-replica.js';

/**
 * Age of the configuration by what the leader tells from which an instance reads the store itself, in milliseconds. The
 * leader's reading is usually at most 0.4 s old, and its pings come every 0.7 s at most.
 */
const maxLeaderAgeMs = 1300;

/** Age of the leader's configuration from which its pings suffice again, in milliseconds. */
const freshLeaderAgeMs = 900;

/** Options of `FollowedView`. */
export type FollowedViewOptions = {
	readonly view: View;
	readonly operators: OperatorFeed;
	readonly clock: Clock;
	readonly telemetry: Telemetry;
};

/** Keeps the view of a follower up to date: by what its leader sends, and by the store itself while that is too old. */
export class FollowedView {
	readonly replica: ViewReplica;
	readonly configAge: ConfigAge;
	private readonly direct: DirectReader;
	private readonly options: FollowedViewOptions;
	/** Time up to which the leader's configuration is known to have been the newest one; at first that of the start. */
	private leaderNewestAt: number;

	constructor(options: FollowedViewOptions) {
		const {view, clock} = options;
		this.options = options;
		this.replica = new ViewReplica(view, clock);
		this.configAge = new ConfigAge(options);
		this.direct = new DirectReader({...options, onOperatorsRead: this.recordStoreRead});
		this.leaderNewestAt = clock.now();
	}

	/** Whether this instance reads the store itself. */
	get isReading(): boolean {
		return this.direct.isRunning;
	}

	/** Records that this instance has read the records of operators up to a monotonic time. */
	readonly recordStoreRead = (knownAt: number): void => {
		this.configAge.confirm(knownAt, ConfigSource.Store);
	};

	/** Applies the changes of a ping. */
	receive(ping: Ping, changes: Buffer): void {
		const {clock} = this.options;
		const startedAt = clock.now();
		this.replica.receive(ping, unpackDelta(changes));
		const applyMs = Math.round(clock.now() - startedAt);
		const isUpToDate = isSameState(this.replica.state, {leader: ping.leader.incarnation, term: ping.term, seq: ping.seq});
		// A leader of an earlier version states the age of its contact with the store only.
		const newestAt = isUpToDate ? startedAt - (ping.configAgeMs ?? ping.storeAgeMs) : undefined;
		this.leaderNewestAt = Math.max(this.leaderNewestAt, newestAt ?? this.leaderNewestAt);
		this.configAge.confirm(newestAt, ConfigSource.Leader, {applyMs});
	}

	/** Starts and stops reading the store. `isFollowing` is whether this instance depends on what a leader tells. */
	tick(isFollowing: boolean): void {
		const {clock, view, telemetry} = this.options;
		const leaderAgeMs = clock.now() - this.leaderNewestAt;
		if (!isFollowing || leaderAgeMs < freshLeaderAgeMs) {
			this.direct.stop();
		} else if (leaderAgeMs > maxLeaderAgeMs && view.configVersion !== undefined && !this.direct.isRunning) {
			telemetry.info('config', 'The leader does not confirm the configuration; reading the store directly.', {ageMs: Math.round(leaderAgeMs), version: view.configVersion});
			telemetry.metrics.directReads.inc();
			this.direct.start();
		}
	}

	/** Stops reading the store. */
	stop(): void {
		this.direct.stop();
	}
}
