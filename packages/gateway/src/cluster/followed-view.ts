import type {Buffer} from 'node:buffer';
import type {Clock} from '@bluebellyard/core';
import type {OperatorFeed, TargetFeed} from '../ports/index.js';
import type {Telemetry} from '../telemetry/index.js';
import type {View} from '../view/index.js';
import {ConfigAge, ConfigSource} from './config-age.js';
import {DirectReader} from './direct-reader.js';
import {isSameState, unpackDelta, type Ping} from './messages.js';
import {ViewReplica} from './view-replica.js';

/**
 * Age of what the leader tells of the store from which an instance reads the operators' records itself, in milliseconds. The
 * leader's readings are usually at most 0.5 s old, and its pings come every 0.7 s at most.
 */
const maxLeaderAgeMs = 1300;

/** The same for the records of targets, in milliseconds. By then most new leaders are heard, and reading them takes CPU time in large deployments. */
const maxTargetsAgeMs = 1600;

/** Age from which the leader's pings suffice again, in milliseconds. */
const freshLeaderAgeMs = 900;

/** Options of `FollowedView`. */
export type FollowedViewOptions = {
	readonly view: View;
	readonly operators: OperatorFeed;
	readonly targets: TargetFeed;
	readonly clock: Clock;
	readonly telemetry: Telemetry;
};

/** Keeps the view of a follower up to date: by what its leader sends, and by the store itself while that is too old. */
export class FollowedView {
	readonly replica: ViewReplica;
	readonly configAge: ConfigAge;
	private readonly direct: DirectReader;
	private readonly options: FollowedViewOptions;
	/** Time up to which the leader knows the store, by its readings or those before its term; at first that of the start. */
	private leaderKnownAt: number;
	/** Time up to which the view has all records of the store. A leader that has not read them yet lacks what this instance has read. */
	private viewKnownAt = Number.NEGATIVE_INFINITY;

	constructor(options: FollowedViewOptions) {
		const {view, clock} = options;
		this.options = options;
		this.replica = new ViewReplica(view, clock);
		this.configAge = new ConfigAge(options);
		this.direct = new DirectReader({...options, onOperatorsRead: this.recordStoreRead});
		this.leaderKnownAt = clock.now();
	}

	/** Whether this instance reads the store itself. */
	get isReading(): boolean {
		return this.direct.isReadingOperators;
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
		const configAgeMs = ping.configAgeMs ?? ping.storeAgeMs;
		if (isUpToDate) {
			const leaderAgeMs = Math.max(configAgeMs, ping.targetsAgeMs);
			const viewAgeMs = ping.configAgeMs === undefined ? leaderAgeMs : ping.recordsAgeMs ?? Number.POSITIVE_INFINITY;
			this.leaderKnownAt = Math.max(this.leaderKnownAt, startedAt - leaderAgeMs);
			this.viewKnownAt = Math.max(this.viewKnownAt, startedAt - viewAgeMs);
		}

		this.configAge.confirm(isUpToDate ? startedAt - configAgeMs : undefined, ConfigSource.Leader, {applyMs});
	}

	/**
	 * Starts and stops reading the store. `ownKnownAt` is the monotonic time up to which this instance has read all records
	 * for a view of its own, in milliseconds; undefined if it depends on what a leader tells.
	 */
	tick(ownKnownAt: number | undefined): void {
		const {clock, view} = this.options;
		const ageMs = clock.now() - this.leaderKnownAt;
		if (ownKnownAt !== undefined || ageMs < freshLeaderAgeMs) {
			this.direct.stop();
		} else if (view.configVersion !== undefined) {
			this.readIfOld(ageMs);
		}

		if (!this.isReading && (ownKnownAt ?? this.viewKnownAt) >= this.direct.readAt && view.direct.clear()) {
			view.notifyListeners();
		}
	}

	/** Stops reading the store. */
	stop(): void {
		this.direct.stop();
	}

	private readIfOld(ageMs: number): void {
		const {view, telemetry} = this.options;
		if (ageMs > maxLeaderAgeMs && !this.direct.isReadingOperators) {
			telemetry.info('config', 'The leader does not confirm what it has read; reading the store directly.', {ageMs: Math.round(ageMs), version: view.configVersion});
			telemetry.metrics.directReads.inc();
			this.direct.startOperators();
		}

		if (ageMs > maxTargetsAgeMs) {
			this.direct.startTargets();
		}
	}
}
