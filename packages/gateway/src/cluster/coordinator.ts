/**
 * Follows the leader, and stands for election when there is none.
 */
import type {Buffer} from 'node:buffer';
import type {Message} from '../peers/index.js';
import {StaleAppendError} from '../ports/index.js';
import type {NodeInfo} from '../view/index.js';
import type {CoordinatorOptions} from './coordinator-options.js';
import {Directory} from './directory.js';
import {
	ElectionOutcome, LeaderElection, leaderTimeoutMs, maxLeaderStoreAgeMs, type ElectionResult, type WonElection,
} from './leader-election.js';
import {electionDelayMs} from './election-delay.js';
import {FollowedLeader} from './followed-leader.js';
import {FollowedView} from './followed-view.js';
import {handleLeaderMessage} from './handle-leader-message.js';
import {LeadHandover} from './lead-handover.js';
import {Leader} from './leader.js';
import {LeaderChannel} from './leader-channel.js';
import {
	PeerOp, toFormerEnds, type LeaderQueryReply, type Ping, type Pong,
} from './messages.js';
import {KnownInstances} from './known-instances.js';
import {FeedReader} from './feed-reader.js';
import {compareLeaderships, type Leadership} from './leader-record.js';
import {OwnerLog} from './owner-log.js';
import {loadSuspects} from './load-suspects.js';
import {Registration} from './registration.js';
import {SuspectLog} from './suspect-log.js';

/** Interval between two ticks, in milliseconds. */
const tickIntervalMs = 100;

/** Time between two ticks above which this process stood still, in milliseconds. Pings that have arrived meanwhile are handled before the next tick. */
const standstillMs = 400;

/** Largest random part of election delays, in milliseconds, so that few instances stand at the same time. */
const maxRandomDelayMs = 400;

/** Time after a change of the leader in which no instance takes over because of its store contact, in milliseconds. */
const minFollowMs = 2500;

/** Delay between two attempts to become leader, in milliseconds. */
const retryDelayMs = 800;

/** Takes part in membership and leader election for one instance, as follower or as leader. */
export class Coordinator {
	/** Way to the present leader. */
	readonly leaderChannel: LeaderChannel;
	private readonly directory: Directory;
	private readonly registration: Registration;
	private readonly ownerLog: OwnerLog;
	private readonly suspectLog: SuspectLog;
	private readonly reader: FeedReader;
	private readonly knownInstances: KnownInstances;
	private readonly election: LeaderElection;
	private leader: Leader | undefined;
	private readonly handover: LeadHandover;
	private readonly followed: FollowedLeader;
	private readonly followedView: FollowedView;
	private isElecting = false;
	private isStopped = false;
	private nextElectionAt: number;
	private isLeaving = false;
	private storeFailedAt = Number.NEGATIVE_INFINITY;
	private timer: NodeJS.Timeout | undefined;
	private tickedAt = Number.NEGATIVE_INFINITY;

	constructor(private readonly options: CoordinatorOptions) {
		const {log, clock, view} = options;
		this.directory = new Directory(log);
		this.registration = new Registration({...options, directory: this.directory});
		this.ownerLog = new OwnerLog(log);
		this.suspectLog = new SuspectLog(log);
		this.followedView = new FollowedView(options);
		const {replica, recordStoreRead} = this.followedView;
		this.reader = new FeedReader({
			...options, onOperatorsRead: recordStoreRead, loadSuspects: async () => loadSuspects(this.suspectLog, this.leader?.suspects, view, () => replica.state !== undefined),
		});
		this.knownInstances = new KnownInstances(options);
		this.election = new LeaderElection({
			...options, ownerLog: this.ownerLog, directory: this.directory, knownInstances: this.knownInstances,
		});
		this.followed = new FollowedLeader(clock, options.usesContactBound);
		this.handover = new LeadHandover(options);
		this.leaderChannel = new LeaderChannel({...options, leader: () => this.leader, leaderNode: () => this.followed.node});
		this.nextElectionAt = clock.now() + this.drawElectionDelayMs();
	}

	/** Whether this instance leads. */
	get isLeader(): boolean {
		return this.leader !== undefined;
	}

	/** Leadership that this instance holds or follows; term 0 before the first one. */
	get leadership(): Leadership {
		return this.leader?.leadership ?? this.followed.leadership;
	}

	/** Time since the last ping of the leader, in milliseconds; 0 on the leader. */
	get leaderContactAgeMs(): number {
		return this.isLeader ? 0 : this.options.clock.now() - this.followed.lastPingAt;
	}

	/** Time at which the leader was last heard; negative infinity before the first one. */
	get leaderHeardAt(): number {
		const {lastPingAt, leadership} = this.followed;
		return this.isLeader ? this.options.clock.now() : (leadership.term === 0 ? Number.NEGATIVE_INFINITY : lastPingAt);
	}

	/** Time since the configuration of this instance was last known to be the newest one in the store, in milliseconds. */
	get configAgeMs(): number {
		return this.followedView.configAge.ms;
	}

	/** Registers this instance and starts to follow a leader. */
	start(): void {
		void this.register();
		this.timer = setInterval(() => {
			this.tick();
		}, tickIntervalMs);
	}

	/** Resigns as steward and leader; the instance continues to answer messages. */
	leave(): void {
		this.isLeaving = true;
		if (this.leader !== undefined) {
			this.handover.leave(this.leader);
		}
	}

	/** Stops all activities. */
	stop(): void {
		this.isStopped = true;
		clearInterval(this.timer);
		this.registration.stop();
		this.reader.stop();
		this.followedView.stop();
		this.leader?.stop();
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

			case PeerOp.Request:
			case PeerOp.RequestEnd:
			case PeerOp.RequestWithdrawal: {
				return undefined;
			}

			case PeerOp.Disowned:
			case PeerOp.Leaving:
			case PeerOp.Crash:
			case PeerOp.Alive:
			case PeerOp.Trial:
			case PeerOp.TrialEnd:
			case PeerOp.CutOff:
			case PeerOp.TeamUse: {
				return this.leader === undefined ? undefined : handleLeaderMessage(this.leader, op, body);
			}
		}
	}

	private tick(): void {
		const {clock, view} = this.options;
		const now = clock.now();
		this.registration.announceAgain(view.storeEra);
		if (now - this.tickedAt < standstillMs) {
			this.followedView.tick(this.reader.isReading ? this.reader.knownAt : undefined);
		}

		this.tickedAt = now;
		if (this.leader !== undefined) {
			this.leader.tick();
			if (!this.isLeaving) {
				this.handover.tick(this.leader, now);
			}

			return;
		}

		const silentMs = now - this.followed.lastPingAt;
		const hasLeaderTimedOut = this.leadership.term === 0 || (silentMs > leaderTimeoutMs && silentMs > leaderTimeoutMs + this.sizeDelayMs);
		const hasStaleLeader = this.followed.storeAgeMs > maxLeaderStoreAgeMs && now - this.followed.since > minFollowMs;
		if (!this.isLeaving && (hasLeaderTimedOut || hasStaleLeader) && now >= this.nextElectionAt) {
			void this.elect(false);
		}
	}

	/** Delay by which larger instances stand for election before this one, in milliseconds. */
	private get sizeDelayMs(): number {
		return electionDelayMs(this.options.self, this.knownInstances.all(), this.options.minStewardCores);
	}

	private drawElectionDelayMs(): number {
		return this.sizeDelayMs + (this.options.random() * maxRandomDelayMs);
	}

	private async register(): Promise<void> {
		for (const node of await this.registration.register()) {
			this.knownInstances.add(node);
		}

		await this.knownInstances.sendHello();
	}

	private handlePing(ping: Ping, changes: Buffer): Pong {
		const {clock, self, report, telemetry} = this.options;
		const {era, term} = ping;
		const order = compareLeaderships(ping, this.leadership);
		if (order >= 0) {
			const wasStoreFresh = this.followed.storeAgeMs <= maxLeaderStoreAgeMs;
			if (this.followed.recordPing(ping)) {
				telemetry.info('follower', 'Following a leader.', {leader: ping.leader.name, era, term});
			}

			if (this.leader !== undefined) {
				this.stepDown('another instance leads');
			}

			this.reader.stop();
			if (wasStoreFresh && ping.storeAgeMs > maxLeaderStoreAgeMs) {
				this.nextElectionAt = clock.now() + (this.drawElectionDelayMs() / 2);
			}

			this.followedView.receive(ping, changes);
		}

		return {
			...this.leadership,
			...this.followed.describeAnswer((this.directory.announcedEra ?? -1) >= era),
			incarnation: self.incarnation, viewState: this.followedView.replica.state, report: {...report(), isLeaving: this.isLeaving},
		};
	}

	private answerLeaderQuery(): LeaderQueryReply {
		return {
			...this.leadership,
			isLeader: this.isLeader,
			heardAgeMs: this.leaderContactAgeMs,
			storeAgeMs: this.leader?.storeAgeMs ?? this.followed.storeAgeMs,
			formerEndsMs: toFormerEnds(this.leader?.formerSendEnds ?? this.followed.formerSendEnds, this.options.clock.now()),
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
			const result = await this.election.stand({
				isSuccessor, leadership: this.leadership, leaderName: this.followed.node?.name, contactAgeMs: this.leaderContactAgeMs,
				knownEnds: this.followed.formerSendEnds, presentLeadership: () => this.leadership,
			});
			await this.applyElectionResult(result);
		} catch (err) {
			if (!(err instanceof StaleAppendError)) {
				this.storeFailedAt = clock.now();
			}

			telemetry.warn('follower', 'This instance could not become leader.', {err, ...this.leadership});
		} finally {
			this.isElecting = false;
		}
	}

	private async applyElectionResult(result: ElectionResult): Promise<void> {
		if (this.isStopped) {
			return;
		}

		switch (result.outcome) {
			case ElectionOutcome.Won: {
				await this.startTerm(result);
				break;
			}

			case ElectionOutcome.OtherElected: {
				// The new leader will send a ping.
				this.followed.recordElected(result.leadership);
				break;
			}

			case ElectionOutcome.LeaderUnreachable: {
				this.followedView.replica.clear();
				this.reader.start();
				break;
			}

			case ElectionOutcome.Postponed:
		}
	}

	private async startTerm({record, state, knownEnds, claimedAt}: WonElection): Promise<void> {
		const {self, view, clock, telemetry} = this.options;
		const lastContacts = record.isRecovering ? undefined : this.followed.findLastContacts(state.leader);
		telemetry.info('leader', 'This instance became leader.', {
			era: record.era,
			term: record.term,
			former: state.leader?.name,
			formerEra: state.leader?.era,
			formerTerm: state.leader?.term,
			services: state.owners.size,
			end: state.end,
			isRecovering: record.isRecovering,
			knowsContacts: lastContacts !== undefined,
		});
		const wasStoreUnreachable = clock.now() - this.storeFailedAt < leaderTimeoutMs || this.followed.storeAgeMs > maxLeaderStoreAgeMs;
		this.handover.recordStart(clock.now());
		const lostLeader = this.leaderContactAgeMs > leaderTimeoutMs ? this.followed.node?.incarnation : undefined;
		this.followed.node = self;
		const leader = new Leader({
			...this.options,
			record,
			knownEnds,
			lastContacts,
			claimedAt,
			ownerLog: this.ownerLog,
			suspectLog: this.suspectLog,
			directory: this.directory,
			reader: this.reader,
			baseState: this.followedView.replica.createBase(),
			lostLeader,
			// Followers that decoded a large configuration as well would have it no sooner.
			configAgeMs: () => this.reader.isDecoding ? 0 : this.configAgeMs,
			isLeaving: () => this.isLeaving,
			onSuperseded: () => {
				this.stepDown('the store names another leader');
			},
		}, state);
		this.leader = leader;
		this.reader.stop();
		this.reader.start(wasStoreUnreachable ? this.followed.targetsReadAt : undefined);
		view.store.set(`node/${self.name}`, self);
		for (const node of this.knownInstances.all()) {
			leader.addNode(node);
		}

		leader.tick();
		const registered = await this.directory.list();
		for (const node of registered) {
			this.knownInstances.add(node);
		}

		if (this.leader === leader) {
			leader.addRegistered(registered);
		}
	}

	private stepDown(reason: string): void {
		this.options.telemetry.info('leader', 'This instance is no longer leader.', {reason, ...this.leadership});
		if (this.leader !== undefined) {
			const {leadership} = this.leader;
			this.followedView.replica.reset({leader: this.options.self.incarnation, term: leadership.term, seq: this.options.view.store.lastSeq});
			if (compareLeaderships(leadership, this.followed.leadership) > 0) {
				this.followed.leadership = leadership;
				this.followed.formerSendEnds = this.leader.formerSendEnds;
			}

			this.leader.stop();
		}

		this.leader = undefined;
		this.reader.stop();
		this.followed.lastPingAt = this.options.clock.now();
	}
}
