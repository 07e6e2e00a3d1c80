/**
 * Replicates the view from the leader to all instances and tracks which of them are live.
 */
import type {Buffer} from 'node:buffer';
import type {Clock} from '@bluebellyard/core';
import {noBytes, type PeerNet} from '../peers/index.js';
import type {Telemetry} from '../telemetry/index.js';
import type {NodeInfo, View} from '../view/index.js';
import type {SendEnds} from './former-leaders.js';
import type {ContactStatement} from './leader-contacts.js';
import {compareLeaderships, type Leadership} from './leader-record.js';
import {
	isSameState, packDelta, toFormerEnds, PeerOp, type Ping, type Pong, type ViewState,
} from './messages.js';

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

/** Options of `FollowerSync`. */
export type FollowerSyncOptions = {
	readonly self: NodeInfo;
	/** Returns the present leadership of this instance. */
	readonly leadership: () => Leadership;
	readonly view: View;
	readonly net: Pick<PeerNet, 'exchange'>;
	readonly clock: Clock;
	readonly telemetry: Telemetry;
	/** State of this instance's view at the start of its term; instances with the same state only need the changes since then. */
	readonly baseState: BaseState | undefined;
	/** Returns whether this instance is about to stop. */
	readonly isLeaving: () => boolean;
	/** Returns the monotonic time at which the last successful read of the targets' records began, in milliseconds. */
	readonly targetsReadAt: () => number;
	/** Returns the latest times at which former leaders may send a grant. */
	readonly formerSendEnds: () => SendEnds;
	/** Returns what a ping that is sent now tells of the leader's contacts, if anything. */
	readonly contactStatement: () => ContactStatement | undefined;
	/** Called for each answer to a ping, with the monotonic time at which the ping was sent. */
	readonly onPong: (node: NodeInfo, pong: Pong, sentAt: number) => void;
};

/** The state of a former leader on which a term is based. */
export type BaseState = {
	readonly state: ViewState;
	/** Sequence number of that state in the store of this instance. */
	readonly seq: number;
};

type Follower = {
	isInFlight: boolean;
	/** State that it reported, or is assumed to have. */
	viewState: ViewState | undefined;
	/** Whether it reported a state on which no changes can be based, so that it needs the whole view. */
	isFullSyncNeeded: boolean;
	repliedAt: number;
	/** Time from which the next ping is sent even if nothing changed. */
	nextAt: number;
	/** Time at which the last ping was sent. */
	sentAt: number;
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

	constructor(options: FollowerSyncOptions) {
		this.options = options;
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
			const follower = this.followers.get(node.name);
			return node.name !== self.name && follower !== undefined && now - follower.repliedAt < lostAfterMs && !follower.isLeaving;
		});
		return [...(isLeaving() ? [] : [self]), ...others];
	}

	/** Sends the pings that are due: with changes as soon as the pace allows, otherwise at intervals. */
	sendDue(now: number, storeAgeMs: number): void {
		const {view, self} = this.options;
		const nodes = view.nodes();
		const minIntervalMs = nodes.length * minPingIntervalPerNodeMs;
		for (const node of nodes) {
			if (node.name === self.name) {
				continue;
			}

			const follower = this.getFollower(node, now);
			const isBehind = !isSameState(follower.viewState, this.stateAt(view.store.lastSeq));
			const isLost = now - follower.repliedAt > lostAfterMs;
			const isFrequentPingDue = storeAgeMs > frequentPingStoreAgeMs && now - follower.sentAt > frequentPingStoreAgeMs;
			const isThrottled = now - follower.sentAt < minIntervalMs;
			const isDue = now >= follower.nextAt || (!isLost && !isThrottled && (isBehind || isFrequentPingDue));
			if (!follower.isInFlight && isDue) {
				void this.ping(node, follower, storeAgeMs);
			}
		}
	}

	private getFollower(node: NodeInfo, now: number): Follower {
		const known = this.followers.get(node.name);
		if (known !== undefined) {
			return known;
		}

		// A new instance counts as live until it does not answer.
		const follower: Follower = {
			isInFlight: false, viewState: this.options.baseState?.state, isFullSyncNeeded: false, repliedAt: now, nextAt: now, sentAt: Number.NEGATIVE_INFINITY, isLeaving: false, stamp: undefined,
		};
		this.followers.set(node.name, follower);
		return follower;
	}

	private async ping(node: NodeInfo, follower: Follower, storeAgeMs: number): Promise<void> {
		const {net, view, self, leadership, clock, telemetry, onPong, contactStatement} = this.options;
		const since = this.findBaseSeq(follower.viewState);
		const base = since === undefined ? undefined : follower.viewState;
		const seq = view.store.lastSeq;
		const startedAt = clock.now();
		const packed = since === undefined && !follower.isFullSyncNeeded ? noBytes : this.packChangesSince(since ?? -1);
		follower.isInFlight = true;
		follower.sentAt = startedAt;
		try {
			const bytes = packed instanceof Promise ? await packed : packed;
			const now = clock.now();
			// Ages in the message count from its sending, not from the time at which large changes began to be packed.
			const statement = contactStatement();
			const ping: Ping = {
				...leadership(),
				leader: self,
				storeAgeMs: Math.round(storeAgeMs + now - startedAt),
				targetsAgeMs: Math.round(now - this.options.targetsReadAt()),
				formerEndsMs: toFormerEnds(this.options.formerSendEnds(), now),
				...(statement === undefined ? {} : {contact: follower.stamp === undefined ? statement : {...statement, echo: follower.stamp}}),
				base,
				seq,
			};
			const reply = await net.exchange(node.addr, PeerOp.Ping, {value: ping, bytes}, {timeoutMs: pingTimeoutMs});
			const pong = reply.value as Pong;
			if (compareLeaderships(pong, ping) === 0) {
				this.handlePong(node, follower, pong);
			}

			onPong(node, pong, now);
		} catch (err) {
			if (clock.now() - follower.repliedAt < lostAfterMs) {
				telemetry.info('leader', 'An instance did not answer a ping.', {instance: node.name, err});
			}

			follower.nextAt = clock.now() + lostPingIntervalMs;
		} finally {
			follower.isInFlight = false;
		}
	}

	/** Returns the sequence number of a state in the store of this instance; undefined if changes cannot be based on it. */
	private findBaseSeq(state: ViewState | undefined): number | undefined {
		const {baseState} = this.options;
		if (state !== undefined && isSameState(state, this.stateAt(state.seq))) {
			return state.seq;
		}

		return isSameState(state, baseState?.state) ? baseState?.seq : undefined;
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
	}
}
