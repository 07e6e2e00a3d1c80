/**
 * Follows the leader, and stands for election when there is none.
 */
import type {Buffer} from 'node:buffer';
import type {Clock, LeaseTiming} from '@bluebellyard/core';
import {sleep} from '../net/index.js';
import type {Message} from '../peers/index.js';
import {
	StaleAppendError, type KeyedLog, type OperatorFeed, type TargetControl, type TargetFeed,
} from '../ports/index.js';
import type {Telemetry} from '../telemetry/index.js';
import type {NodeInfo} from '../view/index.js';
import {Directory} from './directory.js';
import {electionDelayMs} from './election-delay.js';
import {Leader} from './leader.js';
import {
	isSameState, PeerOp, unpackDelta, type LeaderQueryReply, type NotOwnerReport, type Ping, type Pong, type Report, type ViewState,
} from './messages.js';
import {KnownInstances, type KnownInstancesOptions} from './known-instances.js';
import {FeedReader} from './feed-reader.js';
import {OwnerLog, type LeaderRecord, type OwnerState} from './owner-log.js';

/** Interval between two ticks, in milliseconds. */
const tickIntervalMs = 100;

/** Time without a ping of the leader after which an election starts, in milliseconds; two pings are lost by then. */
const leaderTimeoutMs = 1400;

/** Largest random part of election delays, in milliseconds, so that few instances stand at the same time. */
const maxRandomDelayMs = 400;

/** Minimum time that an instance leads before it hands over to a larger one, in milliseconds; the instances of a starting deployment are known by then. */
const minLeadMs = 4000;

/** Ratio of processor time from which a larger instance should lead instead. */
const handoverCoresRatio = 2;

/** Age of the leader's store contact above which an instance that reaches the store takes over, in milliseconds. */
const maxLeaderStoreAgeMs = 1000;

/** Longest time of a store read at which an instance takes over from a leader without store contact, in milliseconds; above it the store is slow for all. */
const maxTakeoverReadMs = 400;

/** Time after a change of the leader in which no instance takes over because of its store contact, in milliseconds. */
const minFollowMs = 2500;

/** Delay between two attempts to become leader, or to register this instance, in milliseconds. */
const retryDelayMs = 800;

/** Time without a ping after which an instance that reaches no other one becomes leader, in milliseconds; it may be the only one left. */
const isolatedElectionMs = 4000;

/** Options of `Coordinator`. */
export type CoordinatorOptions = KnownInstancesOptions & {
	readonly log: KeyedLog;
	readonly operators: OperatorFeed;
	readonly targets: TargetFeed;
	readonly control: TargetControl;
	readonly clock: Clock;
	readonly telemetry: Telemetry;
	readonly timing: LeaseTiming;
	/** Returns the measurements since the last call. */
	readonly report: () => Report;
};

/** Takes part in membership and leader election for one instance, as follower or as leader. */
export class Coordinator {
	private readonly directory: Directory;
	private readonly ownerLog: OwnerLog;
	private readonly reader: FeedReader;
	private readonly knownInstances: KnownInstances;
	private leader: Leader | undefined;
	private leadingSince = Number.NEGATIVE_INFINITY;
	private term = 0;
	private leaderNode: NodeInfo | undefined;
	/** Time of the last ping of the leader. */
	private lastPingAt: number;
	private leaderStoreAgeMs = 0;
	private followingSince = Number.NEGATIVE_INFINITY;
	/** State of the view; undefined if it does not match any state that a leader sent. */
	private viewState: ViewState | undefined;
	private isElecting = false;
	private nextElectionAt: number;
	private isLeaving = false;
	private isAnnounced = false;
	private storeFailedAt = Number.NEGATIVE_INFINITY;
	private timer: NodeJS.Timeout | undefined;

	constructor(private readonly options: CoordinatorOptions) {
		const {log, clock} = options;
		this.directory = new Directory(log);
		this.ownerLog = new OwnerLog(log);
		this.reader = new FeedReader(options);
		this.knownInstances = new KnownInstances(options);
		this.lastPingAt = clock.now();
		this.nextElectionAt = clock.now() + this.drawElectionDelayMs();
	}

	/** Whether this instance leads. */
	get isLeader(): boolean {
		return this.leader !== undefined;
	}

	/** Time since the last ping of the leader, in milliseconds; 0 on the leader. */
	get leaderContactAgeMs(): number {
		return this.isLeader ? 0 : this.options.clock.now() - this.lastPingAt;
	}

	/** Registers this instance and starts to follow a leader. */
	start(): void {
		void this.announce();
		this.timer = setInterval(() => {
			this.tick();
		}, tickIntervalMs);
	}

	/** Resigns as steward and leader; the instance continues to answer messages. */
	leave(): void {
		this.isLeaving = true;
		const others = this.leader?.followers.liveNodes().filter(node => node.name !== this.options.self.name) ?? [];
		const successor = others.toSorted((a, b) => b.cores - a.cores).at(0);
		if (successor !== undefined) {
			this.requestTakeover(successor);
		}
	}

	/** Stops all activities. */
	stop(): void {
		clearInterval(this.timer);
		this.reader.stop();
		this.leader?.stop();
	}

	/** Reports to the leader that an owner does not hold a key. */
	reportNotOwner(report: NotOwnerReport): void {
		if (this.leader !== undefined) {
			this.leader.handleNotOwner(report);
		} else if (this.leaderNode !== undefined) {
			this.options.net.call(this.leaderNode.addr, PeerOp.Disowned, report).catch((err: unknown) => {
				this.options.telemetry.warn('follower', 'A key that its owner does not hold could not be reported to the leader.', {...report, err});
			});
		}
	}

	/** Handles a message of another instance and returns the answer. */
	handle(op: PeerOp, {value: body, bytes}: Message): unknown {
		switch (op) {
			case PeerOp.Ping: {
				return this.handlePing(body as Ping, bytes);
			}

			case PeerOp.QueryLeader: {
				return this.answerLeaderQuery();
			}

			case PeerOp.Hello: {
				const node = body as NodeInfo;
				this.knownInstances.add(node);
				this.leader?.addNode(node);
				return this.isLeader;
			}

			case PeerOp.TakeOver: {
				this.nextElectionAt = this.options.clock.now();
				void this.elect(true);
				return true;
			}

			case PeerOp.Disowned: {
				this.leader?.handleNotOwner(body as NotOwnerReport);
				return true;
			}

			case PeerOp.Request: {
				return undefined;
			}
		}
	}

	private tick(): void {
		const now = this.options.clock.now();
		if (this.leader !== undefined) {
			this.leader.tick();
			this.handOverToLarger(now);
			return;
		}

		const hasLeaderTimedOut = now - this.lastPingAt > leaderTimeoutMs || this.term === 0;
		const hasStaleLeader = this.leaderStoreAgeMs > maxLeaderStoreAgeMs && now - this.followingSince > minFollowMs;
		if (!this.isLeaving && (hasLeaderTimedOut || hasStaleLeader) && now >= this.nextElectionAt) {
			void this.elect(false);
		}
	}

	private requestTakeover(successor: NodeInfo): void {
		const {net, telemetry} = this.options;
		telemetry.info('leader', 'Handing leadership over.', {to: successor.name, cores: successor.cores, term: this.term});
		net.call(successor.addr, PeerOp.TakeOver, this.term).catch((err: unknown) => {
			telemetry.warn('leader', 'The successor did not answer.', {to: successor.name, err});
		});
	}

	/** Hands over to a much larger instance: leading takes processor time that a small one lacks for its own requests. */
	private handOverToLarger(now: number): void {
		const {self} = this.options;
		if (this.isLeaving || now - this.leadingSince < minLeadMs) {
			return;
		}

		const larger = this.leader?.followers.liveNodes().find(node => node.cores >= self.cores * handoverCoresRatio);
		if (larger !== undefined) {
			this.leadingSince = now;
			this.requestTakeover(larger);
		}
	}

	private drawElectionDelayMs(): number {
		return electionDelayMs(this.options.self, this.knownInstances.all()) + (this.options.random() * maxRandomDelayMs);
	}

	private async announce(): Promise<void> {
		const {self, telemetry} = this.options;
		while (!this.isAnnounced) {
			try {
				// eslint-disable-next-line no-await-in-loop
				await this.directory.announce(self);
				// eslint-disable-next-line no-await-in-loop
				for (const node of await this.directory.list()) {
					this.knownInstances.add(node);
				}

				this.isAnnounced = true;
			} catch (err) {
				telemetry.warn('follower', 'This instance could not be registered in the store; trying again.', {err});
				// eslint-disable-next-line no-await-in-loop
				await sleep(retryDelayMs);
			}
		}

		await this.knownInstances.sendHello();
	}

	private handlePing(ping: Ping, changes: Buffer): Pong {
		const {clock, view, self, report, telemetry} = this.options;
		if (ping.term >= this.term) {
			if (ping.term > this.term || this.leaderNode?.name !== ping.leader.name) {
				telemetry.info('follower', 'Following a leader.', {leader: ping.leader.name, term: ping.term});
				this.followingSince = clock.now();
			}

			const wasStoreFresh = this.leaderStoreAgeMs <= maxLeaderStoreAgeMs;
			this.term = ping.term;
			this.leaderNode = ping.leader;
			if (this.leader !== undefined) {
				this.stepDown('another instance leads');
			}

			this.reader.stop();
			this.lastPingAt = clock.now();
			this.leaderStoreAgeMs = ping.storeAgeMs;
			if (wasStoreFresh && ping.storeAgeMs > maxLeaderStoreAgeMs) {
				this.nextElectionAt = clock.now() + (this.drawElectionDelayMs() / 2);
			}

			const delta = unpackDelta(changes);
			if (delta?.isFull === true || isSameState(ping.base, this.viewState)) {
				this.viewState = {term: ping.term, seq: ping.seq};
				if (delta !== undefined) {
					view.apply(delta);
				}
			}
		}

		return {
			term: this.term, incarnation: self.incarnation, viewState: this.viewState, report: {...report(), isLeaving: this.isLeaving},
		};
	}

	private answerLeaderQuery(): LeaderQueryReply {
		return {
			term: this.term,
			isLeader: this.isLeader,
			heardAgeMs: this.leaderContactAgeMs,
			storeAgeMs: this.leader?.storeAgeMs ?? this.leaderStoreAgeMs,
		};
	}

	/** Becomes leader if there is no other one; without that check if the former leader named this instance its successor. */
	private async elect(isSuccessor: boolean): Promise<void> {
		const {clock, telemetry} = this.options;
		if (this.isElecting || this.leader !== undefined) {
			return;
		}

		this.isElecting = true;
		this.nextElectionAt = clock.now() + retryDelayMs + this.drawElectionDelayMs();
		try {
			const askedAt = clock.now();
			const state = await this.ownerLog.read();
			const isStoreSlow = clock.now() - askedAt > maxTakeoverReadMs && this.leaderContactAgeMs < leaderTimeoutMs;
			const mayLead = isSuccessor || (!isStoreSlow && await this.isLeadershipVacant(state));
			if (mayLead) {
				const term = Math.max(this.term, state.leader?.term ?? 0) + 1;
				const record = this.createLeaderRecord(term, state);
				await this.ownerLog.claimLead(record, state);
				await this.startTerm(record, state);
			}
		} catch (err) {
			if (!(err instanceof StaleAppendError)) {
				this.storeFailedAt = clock.now();
			}

			telemetry.warn('follower', 'This instance could not become leader.', {err, term: this.term});
		} finally {
			this.isElecting = false;
		}
	}

	/** Returns the record of this instance as leader, with the former leaders that may not know yet that they are superseded. */
	private createLeaderRecord(term: number, {leader}: OwnerState): LeaderRecord {
		const {name, incarnation} = this.options.self;
		const formers = leader === undefined ? [] : [...new Set([...leader.formers, leader.name])];
		return {
			term, name, incarnation, formers: formers.filter(former => former !== name),
		};
	}

	/** Returns whether no other instance leads; if one may, starts to read the store here while there is no contact with it. */
	private async isLeadershipVacant(state: OwnerState): Promise<boolean> {
		const {clock, telemetry} = this.options;
		if ((state.leader?.term ?? 0) > this.term && this.term > 0) {
			// Another instance has become leader and will send a ping.
			this.term = state.leader?.term ?? 0;
			this.lastPingAt = clock.now();
			this.leaderStoreAgeMs = 0;
			return false;
		}

		const asked = this.knownInstances.selectForQuery(state.leader?.name);
		const answers = await this.knownInstances.queryLeader(asked);
		const hasLeader = answers.some(answer => answer.storeAgeMs < maxLeaderStoreAgeMs
			&& (answer.isLeader || answer.heardAgeMs < leaderTimeoutMs) && answer.term > 0);
		const isIsolated = asked.length > 0 && answers.length === 0;
		if (hasLeader || (isIsolated && this.leaderContactAgeMs < isolatedElectionMs && this.term > 0)) {
			telemetry.info('follower', 'No contact with the leader; reading the store directly.', {answers: answers.length, term: this.term});
			this.viewState = undefined;
			this.reader.start(false);
			return false;
		}

		return true;
	}

	private async startTerm(record: LeaderRecord, state: OwnerState): Promise<void> {
		const {self, view, clock, telemetry} = this.options;
		const {term} = record;
		telemetry.info('leader', 'This instance became leader.', {
			term, former: state.leader?.name, formerTerm: state.leader?.term, services: state.maps.size, end: state.end, era: state.era,
		});
		const wasStoreUnreachable = clock.now() - this.storeFailedAt < leaderTimeoutMs || this.leaderStoreAgeMs > maxLeaderStoreAgeMs;
		this.term = term;
		this.leadingSince = clock.now();
		this.leaderNode = self;
		const leader = new Leader({
			...this.options,
			term,
			record,
			ownerLog: this.ownerLog,
			reader: this.reader,
			baseState: this.viewState === undefined ? undefined : {state: this.viewState, seq: view.store.lastSeq},
			isLeaving: () => this.isLeaving,
			onSuperseded: () => {
				this.stepDown('the store names another leader');
			},
		}, state);
		this.leader = leader;
		this.reader.stop();
		this.reader.start(wasStoreUnreachable);
		view.store.set(`node/${self.name}`, self);
		for (const node of this.knownInstances.all()) {
			leader.addNode(node);
		}

		leader.tick();
		for (const node of await this.directory.list()) {
			this.knownInstances.add(node);
			leader.addNode(node);
		}
	}

	private stepDown(reason: string): void {
		this.options.telemetry.info('leader', 'This instance is no longer leader.', {reason, term: this.term});
		if (this.leader !== undefined) {
			this.viewState = {term: this.leader.term, seq: this.options.view.store.lastSeq};
			this.leader.stop();
		}

		this.leader = undefined;
		this.reader.stop();
		this.lastPingAt = this.options.clock.now();
	}
}
