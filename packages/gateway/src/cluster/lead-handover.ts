import type {PeerNet} from '../peers/index.js';
import type {Telemetry} from '../telemetry/index.js';
import type {NodeInfo, View} from '../view/index.js';
import {withoutCutOff} from './cut-off-instances.js';
import type {Leader} from './leader.js';
import {PeerOp} from './messages.js';

/** Minimum time that an instance leads before it hands over to a larger one, in milliseconds; the instances of a starting deployment are known by then. */
const minLeadMs = 4000;

/** Ratio of processor time from which a larger instance should lead instead. */
const handoverCoresRatio = 2;

/** Time after which a leader that is cut off asks another instance, if the last one has not taken over, in milliseconds. */
const cutOffRetryMs = 1000;

/**
 * Age of the store contact up to which a leader that is cut off hands over, in milliseconds. While the store does not
 * answer nobody can take over, and if it returns from an older copy meanwhile, only this leader knows its grants.
 */
const maxStoreAgeMs = 1000;

/** Options of a handover. */
export type LeadHandoverOptions = {
	readonly self: NodeInfo;
	readonly view: View;
	readonly net: Pick<PeerNet, 'call'>;
	readonly telemetry: Telemetry;
	/** Returns a random number from 0 to 1. */
	readonly random: () => number;
};

/** The leader as the handover sees it. */
export type HandoverLeader = Pick<Leader, 'leadership' | 'isRecovering' | 'storeAgeMs'> & {readonly followers: Pick<Leader['followers'], 'liveNodes'>};

/** Hands leadership over to another instance when this one leaves, is cut off from the targets, or is much smaller. */
export class LeadHandover {
	private readonly options: LeadHandoverOptions;
	private leadingSince = Number.NEGATIVE_INFINITY;
	private cutOffRequestAt = Number.NEGATIVE_INFINITY;

	constructor(options: LeadHandoverOptions) {
		this.options = options;
	}

	/** Records that this instance became leader. */
	recordStart(now: number): void {
		this.leadingSince = now;
	}

	/** Hands over since this instance is about to stop. */
	leave(leader: HandoverLeader): void {
		const {self, view} = this.options;
		const others = leader.followers.liveNodes().filter(node => node.name !== self.name);
		const [successor] = withoutCutOff(others, name => view.isCutOff(name)).toSorted((a, b) => b.cores - a.cores);
		if (successor !== undefined) {
			this.requestTakeover(successor, leader);
		}
	}

	/** Hands over if this instance is cut off, as it can send no grants, or to a much larger one: leading takes processor time that a small one lacks for its own requests. */
	tick(leader: HandoverLeader, now: number): void {
		const {self, view} = this.options;
		if (leader.isRecovering) {
			return;
		}

		const usable = leader.followers.liveNodes().filter(node => node.name !== self.name && !view.isCutOff(node.name));
		if (view.isCutOff(self.name)) {
			this.handOverCutOff(leader, usable, now);
			return;
		}

		const larger = usable.find(node => node.cores >= self.cores * handoverCoresRatio);
		if (larger !== undefined && now - this.leadingSince >= minLeadMs) {
			this.leadingSince = now;
			this.requestTakeover(larger, leader);
		}
	}

	/**
	 * Asks one of the largest instances, another one each time, in case one does not take over. Others of this domain
	 * often are cut off as well and have not found it yet, so that the lead would have to be handed over again.
	 */
	private handOverCutOff(leader: HandoverLeader, usable: readonly NodeInfo[], now: number): void {
		const far = usable.filter(({domain}) => domain !== this.options.self.domain);
		const candidates = far.length > 0 ? far : usable;
		const cores = Math.max(...candidates.map(node => node.cores));
		const largest = candidates.filter(node => node.cores === cores);
		const successor = largest[Math.floor(this.options.random() * largest.length)];
		if (successor !== undefined && leader.storeAgeMs <= maxStoreAgeMs && now - this.cutOffRequestAt >= cutOffRetryMs) {
			this.cutOffRequestAt = now;
			this.requestTakeover(successor, leader);
		}
	}

	private requestTakeover(successor: NodeInfo, {leadership}: HandoverLeader): void {
		const {net, telemetry} = this.options;
		telemetry.info('leader', 'Handing leadership over.', {to: successor.name, cores: successor.cores, ...leadership});
		net.call(successor.addr, PeerOp.TakeOver, leadership.term).catch((err: unknown) => {
			telemetry.warn('leader', 'The successor did not answer.', {to: successor.name, err});
		});
	}
}
