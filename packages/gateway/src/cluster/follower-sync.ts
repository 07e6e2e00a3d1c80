/**
 * Replicates the view from the leader to all instances and tracks which of them are live.
 */
import type {Buffer} from 'node:buffer';
import type {Clock} from '@bluebellyard/core';
import {noBytes, type PeerNet} from '../peers/index.js';
import type {Telemetry} from '../telemetry/index.js';
import {configPart, type NodeInfo, type View} from '../view/index.js';
import {ConfigProgress} from './config-progress.js';
import type {SendEnds} from './former-leaders.js';
import type {ContactStatement} from './leader-contacts.js';
import {compareLeaderships, type Leadership} from './leader-record.js';
import {
	isSameState, packDelta, toFormerEnds, PeerOp, type Ping, type Pong, type StateRange, type ViewState,
} from './messages.js';
import type {BaseState} from './view-replica.js';

/** Interval between two pings to an instance while nothing changes, in milliseconds. */
const pingIntervalMs = 600;

/** Interval between two pings to an instance that does not answer, in milliseconds. */
const lostPingIntervalMs = 1000;

/** Timeout of a ping, in milliseconds. */
const pingTimeoutMs = 900;

/** Time without an answer after which an instance is no longer live and is no steward any more, in milliseconds. */
const lostAfterMs = 1100;

/** Age of the store contact above which pings are sent more often, in milliseconds, so that an instance that reaches the store takes over soon. */
const frequentPingStoreAgeMs = 300;

/**
 * Minimum interval between two pings to one instance, per known instance, in milliseconds. It limits the
 * leader to 400 pings per second, which takes about a tenth of a core.
 */
const minPingIntervalPerNodeMs = 2.5;

/** Interval between two pings to an instance that may lack the configuration, also after one without an answer, in milliseconds. */
const configRetryMs = 100;

/** Most pings without an answer to one instance: one, and one with a new configuration. */
const maxInFlight = 2;

/** Most bytes of whole views on their way at a time, unless it is one view. Half of what a link of 18 Mbit/s carries within the timeout of a ping; more made pings time out and views be sent again. */
const maxWholeBytes = 1024 * 1024;

/** Size that a whole view is assumed to have before the first one is packed, in bytes; 45 kB with 300 instances and 999 targets. */
const assumedWholeBytes = 64 * 1024;

/** Largest configuration that is sent ahead of the whole view, in bytes; one with many keys of teams is about as large as the view. */
const maxConfigBytes = 64 * 1024;

/** Options of `FollowerSync`. */
export type FollowerSyncOptions = {
	readonly self: NodeInfo;
	/** Returns the present leadership of this instance. */
	readonly leadership: () => Leadership;
	readonly view: View;
	readonly net: Pick<PeerNet, 'exchange'>;
	readonly clock: Clock;
	readonly telemetry: Telemetry;
	/** States of former leaders on which the term is based; instances with such a state only need the changes since then. */
	readonly baseState: BaseState | undefined;
	/** Incarnation of the former leader if it fell silent; it counts as lost until it answers. */
	readonly lostLeader?: string;
	/** Returns whether this instance is about to stop. */
	readonly isLeaving: () => boolean;
	/** Returns the monotonic time at which the last successful read of the targets' records began, in milliseconds. */
	readonly targetsReadAt: () => number;
	/** Returns the time since the configuration of this instance was last known to be the newest one, in milliseconds. */
	readonly configAgeMs?: () => number;
	/** Returns the monotonic time up to which this leader has read all records for its view, in milliseconds; negative infinity before. */
	readonly recordsKnownAt?: () => number;
	/** Returns the latest times at which former leaders may send a grant. */
	readonly formerSendEnds: () => SendEnds;
	/** Returns what a ping that is sent now tells of the leader's contacts, if anything. */
	readonly contactStatement: () => ContactStatement | undefined;
	/** Called for each answer to a ping, with the monotonic time at which the ping was sent. */
	readonly onPong: (node: NodeInfo, pong: Pong, sentAt: number) => void;
};

/** What a ping tells of the view. */
enum ChangeKind {
	/** The changes since a state that the instance has. */
	Since,
	/** The whole view. */
	Whole,
	/** The configuration, as the state of the instance is not known or it waits for the whole view. */
	Config,
	/** Nothing, in the same cases. */
	None,
}

type Changes = {
	readonly kind: ChangeKind;
	readonly since?: number;
	readonly base?: ViewState | undefined;
	readonly packed: Buffer | Promise<Buffer>;
};

type Follower = {
	/** Number of pings without an answer so far. */
	inFlight: number;
	/** State that it reported, or is assumed to have. */
	viewState: ViewState | undefined;
	/** Whether it reported a state on which no changes can be based, so that it needs the whole view. */
	isFullSyncNeeded: boolean;
	repliedAt: number;
	/** Time from which the next ping is sent even if nothing changed. */
	nextAt: number;
	/** Time at which the last ping was sent. */
	sentAt: number;
	/** Sequence number of the view when the last ping was sent. */
	sentSeq: number;
	/** Sequence number that the pings on their way bring it to; undefined if it is not known that they do. */
	pendingSeq: number | undefined;
	isLeaving: boolean;
	/** Stamp of the last answer; the next ping repeats it. */
	stamp: number | undefined;
};

/** Sends the leader's pings to all other instances and records their answers. */
export class FollowerSync {
	private readonly options: FollowerSyncOptions;
	private readonly followers = new Map<string, Follower>();
	/** Packed changes by the sequence number on which they are based; shared by all followers at that number. */
	private readonly packedDeltas = new Map<number, Buffer | Promise<Buffer>>();
	/** Sequence number of the store up to which `packedDeltas` reach. */
	private packedSeq = -1;
	private readonly config: ConfigProgress;
	private wholeInFlight = 0;
	private wholeBytes = assumedWholeBytes;
	/** The packed configuration, and its sequence number. */
	private packedConfig: {readonly seq: number; readonly bytes: Buffer | Promise<Buffer>} | undefined;

	constructor(options: FollowerSyncOptions) {
		this.options = options;
		this.config = new ConfigProgress(options.telemetry);
	}

	/** Adds an instance that announced itself. Returns false if this incarnation is known already. */
	add(node: NodeInfo): boolean {
		const {view, self} = this.options;
		const known = view.store.get<NodeInfo>(`node/${node.name}`);
		if (node.name === self.name || known?.incarnation === node.incarnation) {
			return false;
		}

		view.store.set(`node/${node.name}`, node);
		this.followers.delete(node.name);
		return true;
	}

	/** Returns the instances that answered recently, this one first; instances about to stop are left out. */
	liveNodes(): NodeInfo[] {
		const {view, self, clock, isLeaving} = this.options;
		const now = clock.now();
		const others = view.nodes().filter(node => {
			if (node.name === self.name) {
				return false;
			}

			// At the start of a term nobody has been pinged yet, and all queues would move to the new leader.
			const follower = this.getFollower(node, now);
			return now - follower.repliedAt < lostAfterMs && !follower.isLeaving;
		});
		return [...(isLeaving() ? [] : [self]), ...others];
	}

	/**
	 * Sends the pings that are due: with a new configuration at once, with other changes as soon as the pace allows,
	 * otherwise at intervals.
	 */
	sendDue(now: number, storeAgeMs: number): void {
		const {view, self} = this.options;
		const nodes = view.nodes();
		const configSeq = view.store.lastSeqOfPart(configPart);
		this.config.update({
			seq: configSeq,
			version: view.configVersion,
			names: () => nodes.map(({name}) => name).filter(name => name !== self.name),
			isAnswering: name => now - (this.followers.get(name)?.repliedAt ?? now) < lostAfterMs,
		}, now);
		const minIntervalMs = nodes.length * minPingIntervalPerNodeMs;
		for (const node of nodes) {
			if (node.name === self.name) {
				continue;
			}

			const follower = this.getFollower(node, now);
			const isBehind = !isSameState(follower.viewState, this.stateAt(view.store.lastSeq));
			const isLost = now - follower.repliedAt > lostAfterMs;
			const isFrequentPingDue = storeAgeMs > frequentPingStoreAgeMs && now - follower.sentAt > frequentPingStoreAgeMs;
			const isThrottled = now - follower.sentAt < (this.config.mayLack(node.name, now) ? Math.min(minIntervalMs, configRetryMs) : minIntervalMs);
			// A configuration does not wait for the answer to an earlier ping, as that may take until its timeout.
			const isConfigDue = follower.sentSeq < configSeq && follower.inFlight < maxInFlight;
			const isWaiting = follower.isFullSyncNeeded && !this.hasRoomForWhole() && now - follower.sentAt < pingIntervalMs;
			const isDue = (now >= follower.nextAt && !isWaiting) || (!isLost && !isThrottled && !isWaiting && (isBehind || isFrequentPingDue));
			if (isConfigDue || (follower.inFlight === 0 && isDue)) {
				void this.ping(node, follower, storeAgeMs);
			}
		}
	}

	/** Ends the replication, as this instance no longer leads. */
	stop(): void {
		this.config.stop();
	}

	private getFollower(node: NodeInfo, now: number): Follower {
		const known = this.followers.get(node.name);
		if (known !== undefined) {
			return known;
		}

		// A new instance counts as live until it does not answer, except a leader that fell silent.
		const {baseState, lostLeader} = this.options;
		const follower: Follower = {
			inFlight: 0, viewState: baseState?.assumed, isFullSyncNeeded: false, repliedAt: node.incarnation === lostLeader ? Number.NEGATIVE_INFINITY : now, nextAt: now,
			sentAt: Number.NEGATIVE_INFINITY, sentSeq: -1, pendingSeq: undefined, isLeaving: false, stamp: undefined,
		};
		this.followers.set(node.name, follower);
		return follower;
	}

	private async ping(node: NodeInfo, follower: Follower, storeAgeMs: number): Promise<void> {
		const {net, view, clock, telemetry, onPong} = this.options;
		const {kind, since, base, packed} = this.selectChanges(node, follower);
		const isWhole = kind === ChangeKind.Whole;
		const seq = view.store.lastSeq;
		const startedAt = clock.now();
		telemetry.metrics.wholeViews.inc(isWhole ? 1 : 0);
		this.wholeInFlight += isWhole ? 1 : 0;
		follower.inFlight += 1;
		follower.sentAt = startedAt;
		follower.sentSeq = seq;
		follower.pendingSeq = kind === ChangeKind.Since || isWhole ? seq : undefined;
		try {
			const full = packed instanceof Promise ? await packed : packed;
			const bytes = kind === ChangeKind.Config && full.length > maxConfigBytes ? noBytes : full;
			this.wholeBytes = isWhole ? bytes.length : this.wholeBytes;
			const now = clock.now();
			const ping: Ping = {
				...this.describeLeader(follower, now),
				storeAgeMs: Math.round(storeAgeMs + now - startedAt),
				base,
				...(since !== undefined && bytes.length > 0 && {bases: this.listBases(since, seq)}),
				...(kind === ChangeKind.Config && bytes.length > 0 && {isConfigOnly: true}),
				seq,
			};
			const reply = await net.exchange(node.addr, PeerOp.Ping, {value: ping, bytes}, {timeoutMs: pingTimeoutMs});
			const pong = reply.value as Pong;
			if (compareLeaderships(pong, ping) === 0) {
				this.handlePong(node, follower, pong);
				if (ping.isConfigOnly === true) {
					this.config.confirm(node.name, seq, clock.now());
				}
			}

			onPong(node, pong, now);
		} catch (err) {
			if (clock.now() - follower.repliedAt < lostAfterMs) {
				telemetry.info('leader', 'An instance did not answer a ping.', {instance: node.name, err});
			}

			follower.nextAt = clock.now() + (this.config.mayLack(node.name, clock.now()) ? configRetryMs : lostPingIntervalMs);
		} finally {
			follower.inFlight -= 1;
			this.wholeInFlight -= isWhole ? 1 : 0;
		}
	}

	/** Returns the sequence number of a state in the store of this instance; undefined if changes cannot be based on it. */
	private findBaseSeq(state: ViewState | undefined): number | undefined {
		const {baseState} = this.options;
		if (state !== undefined && isSameState(state, this.stateAt(state.seq))) {
			return state.seq;
		}

		const steps = baseState?.steps.filter(step => step.state.leader === state?.leader && step.state.term === state.term) ?? [];
		const isReached = state !== undefined && steps.some(step => step.state.seq >= state.seq);
		return isReached ? steps.findLast(step => step.state.seq <= state.seq)?.seq : undefined;
	}

	/** Returns the states to which the changes after a sequence number apply: those of this term, and those that this instance had before it. */
	private listBases(since: number, seq: number): StateRange[] {
		const own = this.stateAt(seq);
		const ranges: StateRange[] = [{
			leader: own.leader, term: own.term, from: since, to: seq,
		}];
		for (const {state: {leader, term, seq: at}} of this.options.baseState?.steps.filter(step => step.seq >= since) ?? []) {
			const index = ranges.findIndex(range => range.leader === leader && range.term === term);
			if (index === -1) {
				ranges.push({
					leader, term, from: at, to: at,
				});
			} else {
				ranges[index] = {...ranges[index], to: Math.max(ranges[index].to, at)};
			}
		}

		return ranges;
	}

	private stateAt(seq: number): ViewState {
		const {self, leadership} = this.options;
		return {leader: self.incarnation, term: leadership().term, seq};
	}

	private packChangesSince(seq: number): Buffer | Promise<Buffer> {
		const {store} = this.options.view;
		if (this.packedSeq !== store.lastSeq) {
			this.packedSeq = store.lastSeq;
			this.packedDeltas.clear();
		}

		const bytes = this.packedDeltas.get(seq) ?? packDelta(store.deltaSince(seq));
		this.packedDeltas.set(seq, bytes);
		return bytes;
	}

	/** Returns what a ping tells of this leader. Ages count from its sending, not from the time at which large changes began to be packed. */
	private describeLeader(follower: Follower, now: number): Omit<Ping, 'storeAgeMs' | 'base' | 'seq'> {
		const {self, leadership, contactStatement, targetsReadAt, configAgeMs, recordsKnownAt, formerSendEnds} = this.options;
		const statement = contactStatement();
		const recordsAgeMs = now - (recordsKnownAt?.() ?? Number.NEGATIVE_INFINITY);
		return {
			...leadership(),
			leader: self,
			targetsAgeMs: Math.round(now - targetsReadAt()),
			...(configAgeMs !== undefined && {configAgeMs: Math.round(configAgeMs())}),
			...(Number.isFinite(recordsAgeMs) && {recordsAgeMs: Math.round(recordsAgeMs)}),
			formerEndsMs: toFormerEnds(formerSendEnds(), now),
			...(statement === undefined ? {} : {contact: follower.stamp === undefined ? statement : {...statement, echo: follower.stamp}}),
		};
	}

	/** Selects the changes of the next ping to an instance. */
	private selectChanges(node: NodeInfo, follower: Follower): Changes {
		// Messages of a link keep their order, so that an earlier ping is applied before this one.
		const pendingSeq = follower.inFlight > 0 ? follower.pendingSeq : undefined;
		const base = pendingSeq === undefined ? follower.viewState : this.stateAt(pendingSeq);
		const since = this.findBaseSeq(base);
		if (since !== undefined) {
			return {
				kind: ChangeKind.Since, since, base, packed: this.packChangesSince(since),
			};
		}

		if (follower.isFullSyncNeeded && this.hasRoomForWhole()) {
			return {kind: ChangeKind.Whole, packed: this.packChangesSince(-1)};
		}

		return this.config.mayLack(node.name, this.options.clock.now()) ? {kind: ChangeKind.Config, packed: this.packConfig()} : {kind: ChangeKind.None, packed: noBytes};
	}

	private hasRoomForWhole(): boolean {
		return this.wholeInFlight === 0 || (this.wholeInFlight + 1) * this.wholeBytes <= maxWholeBytes;
	}

	/** Packs the configuration, for instances that wait for the whole view. */
	private packConfig(): Buffer | Promise<Buffer> {
		const {view} = this.options;
		const seq = view.store.lastSeqOfPart(configPart);
		if (this.packedConfig?.seq !== seq) {
			this.packedConfig = {
				seq, bytes: packDelta({
					isFull: false, seq, set: [...view.configRows()], gone: [],
				}),
			};
		}

		return this.packedConfig.bytes;
	}

	private handlePong(node: NodeInfo, follower: Follower, pong: Pong): void {
		const now = this.options.clock.now();
		if (now - follower.repliedAt > lostAfterMs) {
			this.options.telemetry.info('leader', 'An instance answers again.', {instance: node.name});
		}

		follower.repliedAt = now;
		follower.viewState = pong.viewState;
		follower.stamp = pong.stamp;
		follower.isFullSyncNeeded = this.findBaseSeq(pong.viewState) === undefined;
		follower.nextAt = now + (follower.isFullSyncNeeded ? 0 : pingIntervalMs);
		follower.isLeaving = pong.report.isLeaving;
		if (pong.viewState !== undefined && isSameState(pong.viewState, this.stateAt(pong.viewState.seq))) {
			this.config.confirm(node.name, pong.viewState.seq, now);
		}
	}
}
