/**
 * Decides whether this instance becomes leader, and claims the lead in the store.
 */
import {leaseExpiry, type Clock, type LeaseTiming} from '@bluebellyard/core';
import type {Telemetry} from '../telemetry/index.js';
import type {NodeInfo} from '../view/index.js';
import type {Directory} from './directory.js';
import type {SendEnds} from './former-leaders.js';
import type {KnownInstances} from './known-instances.js';
import {compareLeaderships, type LeaderRecord, type Leadership} from './leader-record.js';
import {toSendEnds} from './messages.js';
import {hasLostRecords, type OwnerLog, type OwnerState} from './owner-log.js';

/** Time without a ping of the leader after which an election starts, in milliseconds; two pings are lost by then. */
export const leaderTimeoutMs = 1400;

/** Age of the leader's store contact above which an instance that reaches the store takes over, in milliseconds. */
export const maxLeaderStoreAgeMs = 1000;

/** Longest time of a store read at which an instance takes over from a leader without store contact, in milliseconds; above it the store is slow for all. */
const maxTakeoverReadMs = 400;

/** Time without a ping after which an instance that reaches no other one becomes leader, in milliseconds; it may be the only one left. */
const isolatedElectionMs = 4000;

/** Time for which a leader that is heard may claim the lead again after a return of the store, in milliseconds; it asks the store once a second. */
const leaderReclaimMs = 1500;

/** Result of an election. */
export enum ElectionOutcome {
	/** This instance leads. */
	Won,
	/** The store names a leader that this instance has not heard of. */
	OtherElected,
	/** There may be a leader that this instance does not reach. */
	LeaderUnreachable,
	/** The store is slow, or the present leader may claim the lead again. */
	Postponed,
}

/** A won election. */
export type WonElection = {
	readonly outcome: ElectionOutcome.Won;
	readonly record: LeaderRecord;
	/** The store before the election. */
	readonly state: OwnerState;
	/** What the leader before told of those before it. */
	readonly knownEnds: SendEnds;
	/** Monotonic time at which the lead was claimed; another instance may have been elected since. */
	readonly claimedAt: number;
};

/** Result of an election, with what it found. */
export type ElectionResult
	= | WonElection
		| {readonly outcome: ElectionOutcome.OtherElected; readonly leadership: Leadership}
		| {readonly outcome: ElectionOutcome.LeaderUnreachable | ElectionOutcome.Postponed};

/** What this instance knows of the leader when it stands for election. */
export type Candidacy = {
	/** Whether the former leader named this instance its successor. */
	readonly isSuccessor: boolean;
	/** Leadership that this instance followed last. */
	readonly leadership: Leadership;
	readonly leaderName: string | undefined;
	/** Time since the last ping of the leader, in milliseconds. */
	readonly contactAgeMs: number;
	/** What the leader with that leadership told of the leaders before it. */
	readonly knownEnds: SendEnds;
	/** Returns the leadership that this instance follows when it is called, which may have changed during the election. */
	readonly presentLeadership?: () => Leadership;
};

/** Options of `LeaderElection`. */
export type LeaderElectionOptions = {
	readonly self: NodeInfo;
	readonly ownerLog: OwnerLog;
	readonly directory: Directory;
	readonly knownInstances: KnownInstances;
	readonly clock: Clock;
	readonly telemetry: Telemetry;
	readonly timing: LeaseTiming;
};

/** Elections of one instance. */
export class LeaderElection {
	private readonly options: LeaderElectionOptions;
	/** Answers of other instances in this election. */
	private answers: ReadonlyArray<Leadership & {readonly sendEnds: SendEnds}> = [];
	/** Newest era of the store that an election has met, and when. */
	private newEra = {era: 0, seenAt: Number.NEGATIVE_INFINITY};

	constructor(options: LeaderElectionOptions) {
		this.options = options;
	}

	/** Stands for election. Errors are those of `OwnerLog`. */
	async stand(candidacy: Candidacy): Promise<ElectionResult> {
		const {ownerLog, clock} = this.options;
		const askedAt = clock.now();
		this.answers = [];
		const state = await ownerLog.read();
		if (!candidacy.isSuccessor) {
			const isStoreSlow = clock.now() - askedAt > maxTakeoverReadMs && candidacy.contactAgeMs < leaderTimeoutMs;
			const obstacle = isStoreSlow ? {outcome: ElectionOutcome.Postponed as const} : await this.findObstacle(state, candidacy);
			if (obstacle !== undefined) {
				return obstacle;
			}
		}

		const knownEnds = this.selectKnownEnds(state, candidacy);
		const record = await this.createRecord(state, candidacy.leadership, knownEnds);
		const claimedAt = clock.now();
		await ownerLog.claimLead(record, state);
		const present = candidacy.presentLeadership?.();
		if (present !== undefined && compareLeaderships(present, record) > 0) {
			// The answer was late, and a leader elected since counts on it that this instance sends no grants.
			return {outcome: ElectionOutcome.OtherElected, leadership: present};
		}

		return {
			outcome: ElectionOutcome.Won, record, state, knownEnds, claimedAt,
		};
	}

	/** Returns why this instance must not become leader; undefined if it may. */
	private async findObstacle(state: OwnerState, {leadership, leaderName, contactAgeMs}: Candidacy): Promise<ElectionResult | undefined> {
		const {knownInstances, directory, telemetry} = this.options;
		const {leader} = state;
		const hasFollowed = leadership.term > 0;
		if (leader !== undefined && hasFollowed && compareLeaderships(leader, leadership) > 0) {
			return {outcome: ElectionOutcome.OtherElected, leadership: {era: leader.era, term: leader.term}};
		}

		if (hasFollowed && contactAgeMs < leaderTimeoutMs && this.mayReclaim(state, leadership)) {
			telemetry.info('follower', 'The store returned from an older copy; the present leader may claim the lead again.', {
				newEra: state.era, leader: leaderName, ...leadership,
			});
			return {outcome: ElectionOutcome.Postponed};
		}

		if (knownInstances.all().length === 0) {
			// This instance has restarted while the store was away.
			await knownInstances.loadFrom(directory);
		}

		const asked = knownInstances.selectForQuery(leader?.name);
		const answers = await knownInstances.queryLeader(asked);
		this.answers = answers.map(answer => ({...answer, sendEnds: toSendEnds(answer.formerEndsMs, this.options.clock.now())}));
		const hasLeader = answers.some(answer => answer.storeAgeMs < maxLeaderStoreAgeMs
			&& (answer.isLeader || answer.heardAgeMs < leaderTimeoutMs) && answer.term > 0);
		const isIsolated = asked.length > 0 && answers.length === 0;
		if (hasLeader || (isIsolated && contactAgeMs < isolatedElectionMs && hasFollowed)) {
			telemetry.info('follower', 'No contact with the leader; reading the store directly.', {answers: answers.length, ...leadership});
			return {outcome: ElectionOutcome.LeaderUnreachable};
		}

		return undefined;
	}

	/**
	 * Returns whether the present leader is given time to claim the lead in the era of `state`, which only it can do
	 * without waiting for the grants in records that the store has lost.
	 */
	private mayReclaim({era}: OwnerState, leadership: Leadership): boolean {
		const now = this.options.clock.now();
		if (era > this.newEra.era) {
			this.newEra = {era, seenAt: now};
		}

		return era > leadership.era && now - this.newEra.seenAt < leaderReclaimMs;
	}

	/**
	 * Returns what the recorded leader told this instance, or those that answered, of the leaders before it. Earlier and
	 * later leaders don't count: one of those named may have led again since, or another one instead.
	 */
	private selectKnownEnds({era, leader}: OwnerState, {leadership, knownEnds}: Candidacy): SendEnds {
		if (leader === undefined || leader.isRecovering || leader.era !== era) {
			return new Map();
		}

		const sources = [{...leadership, sendEnds: knownEnds}, ...this.answers].filter(source => compareLeaderships(source, leader) === 0);
		const names = new Set(sources.flatMap(({sendEnds}) => [...sendEnds.keys()]));
		// Each of them is later than the time that the leader knew; the earliest one is the most exact.
		return new Map([...names].map(name => [name, Math.min(...sources.flatMap(({sendEnds}) => sendEnds.get(name) ?? []))]));
	}

	/**
	 * Returns the record of this instance as leader, with the former leaders that may not know yet that they are
	 * superseded. If the store has lost records, any other instance may have led in them.
	 */
	private async createRecord(state: OwnerState, followed: Leadership, knownEnds: SendEnds): Promise<LeaderRecord> {
		const {self, knownInstances, directory, clock, timing} = this.options;
		const isRecovering = hasLostRecords(state);
		if (isRecovering) {
			await knownInstances.loadFrom(directory);
		}

		const {leader} = state;
		const isExpired = (name: string) => leaseExpiry(knownEnds.get(name) ?? Number.POSITIVE_INFINITY, timing) < clock.now();
		const recorded = leader === undefined ? [] : [...leader.formers.filter(name => !isExpired(name)), leader.name];
		const others = isRecovering ? knownInstances.all().map(({name}) => name) : [];
		return {
			era: state.era,
			term: Math.max(followed.term, leader?.term ?? 0) + 1,
			name: self.name,
			incarnation: self.incarnation,
			formers: [...new Set([...recorded, ...others])].filter(name => name !== self.name),
			isRecovering,
		};
	}
}
