/**
 * Follows the leader, and takes the lead when there is none.
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

/** Between two ticks, in milliseconds. */
const tickMs = 100;

/** Silence of the leader after which another one is sought, in milliseconds: two of its messages are lost. */
const silenceMs = 1400;

/** Largest random addition to waits, in milliseconds, so that few instances try at once. */
const spreadMs = 400;

/** Time for which an instance leads before it looks for a larger one, in milliseconds: a deployment that starts shows itself by then. */
const settledLeadMs = 4000;

/** Ratio of processor time from which an instance is so much larger that it should lead. */
const muchLarger = 2;

/** Age of the leader's store contact above which an instance that reaches the store takes over, in milliseconds. */
const staleLeaderMs = 1000;

/** Longest time that the store may take for an instance that takes over because the leader does not reach it, in milliseconds: else it is slow for all. */
const goodStoreMs = 400;

/** Time after a change of the leader in which nobody takes over because of the store, in milliseconds. */
const settledMs = 2500;

/** Pause between two tries to take the lead, in milliseconds. */
const retryMs = 800;

/** Silence after which an instance that reaches no other one takes the lead, in milliseconds: it may be the last one. */
const aloneMs = 4000;

/** Settings of a coordinator. */
export type CoordinatorOptions = KnownInstancesOptions & {
	readonly log: KeyedLog;
	readonly operators: OperatorFeed;
	readonly targets: TargetFeed;
	readonly control: TargetControl;
	readonly clock: Clock;
	readonly telemetry: Telemetry;
	readonly timing: LeaseTiming;
	/** Measurements since the last call. */
	readonly report: () => Report;
};

/** Membership and lead of one instance. */
export class Coordinator {
	private readonly directory: Directory;
	private readonly ownerLog: OwnerLog;
	private readonly reader: FeedReader;
	private readonly neighbours: KnownInstances;
	private leader: Leader | undefined;
	private leadingSince = Number.NEGATIVE_INFINITY;
	private term = 0;
	private leaderNode: NodeInfo | undefined;
	private heardAt: number;
	private leaderStoreAge = 0;
	private followingSince = Number.NEGATIVE_INFINITY;
	/** State of the view; undefined when it is none that a leader ever told. */
	private viewState: ViewState | undefined;
	private isElecting = false;
	private nextTryAt: number;
	private isLeaving = false;
	private isAnnounced = false;
	private storeFailedAt = Number.NEGATIVE_INFINITY;
	private timer: NodeJS.Timeout | undefined;

	constructor(private readonly options: CoordinatorOptions) {
		const {log, clock} = options;
		this.directory = new Directory(log);
		this.ownerLog = new OwnerLog(log);
		this.reader = new FeedReader(options);
		this.neighbours = new KnownInstances(options);
		this.heardAt = clock.now();
		this.nextTryAt = clock.now() + this.spread();
	}

	/** Whether this instance leads. */
	get isLeader(): boolean {
		return this.leader !== undefined;
	}

	/** Time since the leader was heard, in milliseconds; 0 on the leader. */
	get leaderContactAgeMs(): number {
		return this.isLeader ? 0 : this.options.clock.now() - this.heardAt;
	}

	/** Starts to follow and to tick. */
	start(): void {
		void this.announce();
		this.timer = setInterval(() => {
			this.tick();
		}, tickMs);
	}

	/** Gives charges and the lead away; the instance goes on answering. */
	leave(): void {
		this.isLeaving = true;
		const others = this.leader?.followers.liveNodes().filter(node => node.name !== this.options.self.name) ?? [];
		const successor = others.toSorted((a, b) => b.cores - a.cores).at(0);
		if (successor !== undefined) {
			this.handOver(successor);
		}
	}

	/** Stops everything. */
	stop(): void {
		clearInterval(this.timer);
		this.reader.stop();
		this.leader?.stop();
	}

	/** Tells the leader that an owner does not hold a key. */
	reportNotOwner(disowned: NotOwnerReport): void {
		if (this.leader !== undefined) {
			this.leader.handleNotOwner(disowned);
		} else if (this.leaderNode !== undefined) {
			this.options.net.call(this.leaderNode.addr, PeerOp.Disowned, disowned).catch((err: unknown) => {
				this.options.telemetry.warn('follower', 'The leader could not be told of a disowned key.', {...disowned, err});
			});
		}
	}

	/** Answers a message of another instance. */
	handle(op: PeerOp, {value: body, bytes}: Message): unknown {
		switch (op) {
			case PeerOp.Ping: {
				return this.takePing(body as Ping, bytes);
			}

			case PeerOp.QueryLeader: {
				return this.answerAsk();
			}

			case PeerOp.Hello: {
				const node = body as NodeInfo;
				this.neighbours.add(node);
				this.leader?.addNode(node);
				return this.isLeader;
			}

			case PeerOp.TakeOver: {
				this.nextTryAt = this.options.clock.now();
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
			this.yieldToLarger(now);
			return;
		}

		const isSilent = now - this.heardAt > silenceMs || this.term === 0;
		const isStale = this.leaderStoreAge > staleLeaderMs && now - this.followingSince > settledMs;
		if (!this.isLeaving && (isSilent || isStale) && now >= this.nextTryAt) {
			void this.elect(false);
		}
	}

	private handOver(successor: NodeInfo): void {
		const {net, telemetry} = this.options;
		telemetry.info('leader', 'Handing the lead over.', {to: successor.name, cores: successor.cores, term: this.term});
		net.call(successor.addr, PeerOp.TakeOver, this.term).catch((err: unknown) => {
			telemetry.warn('leader', 'The successor does not answer.', {to: successor.name, err});
		});
	}

	/** Leading takes processor time that a small instance lacks for its own requests. */
	private yieldToLarger(now: number): void {
		const {self} = this.options;
		if (this.isLeaving || now - this.leadingSince < settledLeadMs) {
			return;
		}

		const larger = this.leader?.followers.liveNodes().find(node => node.cores >= self.cores * muchLarger);
		if (larger !== undefined) {
			this.leadingSince = now;
			this.handOver(larger);
		}
	}

	private spread(): number {
		return electionDelayMs(this.options.self, this.neighbours.all()) + (this.options.random() * spreadMs);
	}

	private async announce(): Promise<void> {
		const {self, telemetry} = this.options;
		while (!this.isAnnounced) {
			try {
				// eslint-disable-next-line no-await-in-loop
				await this.directory.announce(self);
				// eslint-disable-next-line no-await-in-loop
				for (const node of await this.directory.list()) {
					this.neighbours.add(node);
				}

				this.isAnnounced = true;
			} catch (err) {
				telemetry.warn('follower', 'The store could not be told of this instance.', {err});
				// eslint-disable-next-line no-await-in-loop
				await sleep(retryMs);
			}
		}

		await this.neighbours.sendHello();
	}

	private takePing(ping: Ping, changes: Buffer): Pong {
		const {clock, view, self, report, telemetry} = this.options;
		if (ping.term >= this.term) {
			if (ping.term > this.term || this.leaderNode?.name !== ping.leader.name) {
				telemetry.info('follower', 'Following a leader.', {leader: ping.leader.name, term: ping.term});
				this.followingSince = clock.now();
			}

			const wasFresh = this.leaderStoreAge <= staleLeaderMs;
			this.term = ping.term;
			this.leaderNode = ping.leader;
			if (this.leader !== undefined) {
				this.stepDown('another instance leads');
			}

			this.reader.stop();
			this.heardAt = clock.now();
			this.leaderStoreAge = ping.storeAgeMs;
			if (wasFresh && ping.storeAgeMs > staleLeaderMs) {
				this.nextTryAt = clock.now() + (this.spread() / 2);
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

	private answerAsk(): LeaderQueryReply {
		return {
			term: this.term,
			isLeader: this.isLeader,
			heardAgeMs: this.leaderContactAgeMs,
			storeAgeMs: this.leader?.storeAgeMs ?? this.leaderStoreAge,
		};
	}

	/** Takes the lead if nobody else has it. */
	private async elect(isNamed: boolean): Promise<void> {
		const {clock, telemetry} = this.options;
		if (this.isElecting || this.leader !== undefined) {
			return;
		}

		this.isElecting = true;
		this.nextTryAt = clock.now() + retryMs + this.spread();
		try {
			const askedAt = clock.now();
			const state = await this.ownerLog.read();
			const isSlow = clock.now() - askedAt > goodStoreMs && this.leaderContactAgeMs < silenceMs;
			const mayLead = isNamed || (!isSlow && await this.isLeadFree(state));
			if (mayLead) {
				const term = Math.max(this.term, state.leader?.term ?? 0) + 1;
				const record = this.leaderRecord(term, state);
				await this.ownerLog.claimLead(record, state);
				await this.lead(record, state);
			}
		} catch (err) {
			if (!(err instanceof StaleAppendError)) {
				this.storeFailedAt = clock.now();
			}

			telemetry.warn('follower', 'Could not take the lead.', {err, term: this.term});
		} finally {
			this.isElecting = false;
		}
	}

	/** The record of this instance as leader, with those that led before and may still think so. */
	private leaderRecord(term: number, {leader}: OwnerState): LeaderRecord {
		const {name, incarnation} = this.options.self;
		const formers = leader === undefined ? [] : [...new Set([...leader.formers, leader.name])];
		return {
			term, name, incarnation, formers: formers.filter(former => former !== name),
		};
	}

	private async isLeadFree(state: OwnerState): Promise<boolean> {
		const {clock, telemetry} = this.options;
		if ((state.leader?.term ?? 0) > this.term && this.term > 0) {
			// Somebody else was faster; it will show itself.
			this.term = state.leader?.term ?? 0;
			this.heardAt = clock.now();
			this.leaderStoreAge = 0;
			return false;
		}

		const asked = this.neighbours.selectForQuery(state.leader?.name);
		const answers = await this.neighbours.queryLeader(asked);
		const hasLeader = answers.some(answer => answer.storeAgeMs < staleLeaderMs
			&& (answer.isLeader || answer.heardAgeMs < silenceMs) && answer.term > 0);
		const isAlone = asked.length > 0 && answers.length === 0;
		if (hasLeader || (isAlone && this.leaderContactAgeMs < aloneMs && this.term > 0)) {
			telemetry.info('follower', 'Cut off from the leader; reading the store here.', {answers: answers.length, term: this.term});
			this.viewState = undefined;
			this.reader.start(false);
			return false;
		}

		return true;
	}

	private async lead(record: LeaderRecord, state: OwnerState): Promise<void> {
		const {self, view, clock, telemetry} = this.options;
		const {term} = record;
		telemetry.info('leader', 'Leading.', {term, former: state.leader?.name, services: state.maps.size});
		const wasAway = clock.now() - this.storeFailedAt < silenceMs || this.leaderStoreAge > staleLeaderMs;
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
		this.reader.start(wasAway);
		view.store.set(`node/${self.name}`, self);
		for (const node of this.neighbours.all()) {
			leader.addNode(node);
		}

		leader.tick();
		for (const node of await this.directory.list()) {
			this.neighbours.add(node);
			leader.addNode(node);
		}
	}

	private stepDown(reason: string): void {
		this.options.telemetry.info('leader', 'Not leading any more.', {reason, term: this.term});
		if (this.leader !== undefined) {
			this.viewState = {term: this.leader.term, seq: this.options.view.store.lastSeq};
			this.leader.stop();
		}

		this.leader = undefined;
		this.reader.stop();
		this.heardAt = this.options.clock.now();
	}
}
