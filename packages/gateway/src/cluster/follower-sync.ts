/**
 * Tells all instances what changed in the view, and knows which of them live.
 */
import type {Buffer} from 'node:buffer';
import type {Clock} from '@bluebellyard/core';
import {noBytes, type PeerNet} from '../peers/index.js';
import type {Telemetry} from '../telemetry/index.js';
import type {NodeInfo, View} from '../view/index.js';
import {
	isSameState, packDelta, PeerOp, type Ping, type Pong, type ViewState,
} from './messages.js';

/** Between two messages to an instance when nothing changes, in milliseconds. */
const pingEveryMs = 600;

/** Between two messages to an instance that does not answer, in milliseconds. */
const lostPingEveryMs = 1000;

/** Longest wait for the answer to a message, in milliseconds. */
const pingTimeoutMs = 900;

/** Silence after which an instance is in charge of nothing, in milliseconds. */
const lostAfterMs = 1100;

/** Age of the store contact above which instances are told often, in milliseconds, so that one that reaches the store takes over soon. */
const tellStoreAgeMs = 300;

/**
 * Least time between two messages to one instance for each instance that there is, in milliseconds, so that the
 * leader sends at most 400 messages a second: about a tenth of a core.
 */
const tellPacePerNodeMs = 2.5;

/** Settings of a sync. */
export type FollowerSyncOptions = {
	readonly self: NodeInfo;
	readonly term: number;
	readonly view: View;
	readonly net: Pick<PeerNet, 'exchange'>;
	readonly clock: Clock;
	readonly telemetry: Telemetry;
	/** State of this instance's view when its term began, and its own sequence number then: who has it too lacks little. */
	readonly baseState: BaseState | undefined;
	/** Whether this instance is about to stop. */
	readonly isLeaving: () => boolean;
	/** Called with each answer. */
	readonly onPong: (node: NodeInfo, pong: Pong) => void;
};

/** The state of a former leader from which a term began. */
export type BaseState = {
	readonly state: ViewState;
	/** Sequence number of the same state at this instance. */
	readonly seq: number;
};

type Follower = {
	isInFlight: boolean;
	/** State that it said it has, or is thought to have. */
	viewState: ViewState | undefined;
	/** Whether it said that it has nothing to build on. */
	lacksAll: boolean;
	repliedAt: number;
	nextAt: number;
	/** When it was last told anything. */
	toldAt: number;
	isLeaving: boolean;
};

/** The leader's connections to all other instances. */
export class FollowerSync {
	private readonly options: FollowerSyncOptions;
	private readonly followers = new Map<string, Follower>();
	/** Changes since a sequence number, packed once for all followers that lack the same. */
	private readonly packed = new Map<number, Buffer>();
	private packedSeq = -1;

	constructor(options: FollowerSyncOptions) {
		this.options = options;
	}

	/** Adds an instance that showed itself; false when this process life was known. */
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

	/** Instances that answered a moment ago, this one first. */
	liveNodes(): NodeInfo[] {
		const {view, self, clock, isLeaving} = this.options;
		const now = clock.now();
		const others = view.nodes().filter(node => {
			const follower = this.followers.get(node.name);
			return node.name !== self.name && follower !== undefined && now - follower.repliedAt < lostAfterMs && !follower.isLeaving;
		});
		return [...(isLeaving() ? [] : [self]), ...others];
	}

	/** Sends what is due: changes at once, a sign of life now and then. */
	sendDue(now: number, storeAgeMs: number): void {
		const {view, self, term} = this.options;
		const nodes = view.nodes();
		const paceMs = nodes.length * tellPacePerNodeMs;
		for (const node of nodes) {
			if (node.name === self.name) {
				continue;
			}

			const follower = this.follower(node, now);
			const isBehind = !isSameState(follower.viewState, {term, seq: view.store.lastSeq});
			const isLost = now - follower.repliedAt > lostAfterMs;
			const isNews = storeAgeMs > tellStoreAgeMs && now - follower.toldAt > tellStoreAgeMs;
			const isPaced = now - follower.toldAt < paceMs;
			const isDue = now >= follower.nextAt || (!isLost && !isPaced && (isBehind || isNews));
			if (!follower.isInFlight && isDue) {
				void this.ping(node, follower, storeAgeMs);
			}
		}
	}

	private follower(node: NodeInfo, now: number): Follower {
		const known = this.followers.get(node.name);
		if (known !== undefined) {
			return known;
		}

		// A new instance counts as live until it fails to answer.
		const follower: Follower = {
			isInFlight: false, viewState: this.options.baseState?.state, lacksAll: false, repliedAt: now, nextAt: now, toldAt: Number.NEGATIVE_INFINITY, isLeaving: false,
		};
		this.followers.set(node.name, follower);
		return follower;
	}

	private async ping(node: NodeInfo, follower: Follower, storeAgeMs: number): Promise<void> {
		const {net, view, self, term, clock, telemetry, onPong} = this.options;
		const since = this.seqOf(follower.viewState);
		const ping: Ping = {
			term, leader: self, storeAgeMs: Math.round(storeAgeMs), base: since === undefined ? undefined : follower.viewState, seq: view.store.lastSeq,
		};
		const bytes = since === undefined && !follower.lacksAll ? noBytes : this.changesSince(since ?? -1);
		follower.isInFlight = true;
		follower.toldAt = clock.now();
		try {
			const reply = await net.exchange(node.addr, PeerOp.Ping, {value: ping, bytes}, {timeoutMs: pingTimeoutMs});
			const pong = reply.value as Pong;
			if (pong.term === term) {
				this.answered(node, follower, pong);
			}

			onPong(node, pong);
		} catch (err) {
			if (clock.now() - follower.repliedAt < lostAfterMs) {
				telemetry.info('leader', 'An instance does not answer.', {instance: node.name, err});
			}

			follower.nextAt = clock.now() + lostPingEveryMs;
		} finally {
			follower.isInFlight = false;
		}
	}

	/** Sequence number here of a state that an instance has; undefined when nothing can be built on it. */
	private seqOf(state: ViewState | undefined): number | undefined {
		const {term, baseState: lineage} = this.options;
		if (state?.term === term) {
			return state.seq;
		}

		return isSameState(state, lineage?.state) ? lineage?.seq : undefined;
	}

	private changesSince(seq: number): Buffer {
		const {store} = this.options.view;
		if (this.packedSeq !== store.lastSeq) {
			this.packedSeq = store.lastSeq;
			this.packed.clear();
		}

		const bytes = this.packed.get(seq) ?? packDelta(store.deltaSince(seq));
		this.packed.set(seq, bytes);
		return bytes;
	}

	private answered(node: NodeInfo, follower: Follower, pong: Pong): void {
		const now = this.options.clock.now();
		if (now - follower.repliedAt > lostAfterMs) {
			this.options.telemetry.info('leader', 'An instance answers again.', {instance: node.name});
		}

		follower.repliedAt = now;
		follower.viewState = pong.viewState;
		follower.lacksAll = this.seqOf(pong.viewState) === undefined;
		follower.nextAt = now + (follower.lacksAll ? 0 : pingEveryMs);
		follower.isLeaving = pong.report.isLeaving;
	}
}
