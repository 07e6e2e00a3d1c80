/**
 * Other instances as this one met them, and what it asks them before it takes the lead.
 */
import type {PeerNet} from '../peers/index.js';
import type {NodeInfo, View} from '../view/index.js';
import {PeerOp, type LeaderQueryReply} from './messages.js';

/** Longest wait for answers of other instances, in milliseconds. */
const askTimeoutMs = 350;

/** Instances that are asked before an election. */
const askedInstances = 6;

/** Settings of neighbours. */
export type KnownInstancesOptions = {
	readonly self: NodeInfo;
	readonly view: View;
	readonly net: PeerNet;
	/** A number from 0 to 1. */
	readonly random: () => number;
};

/** Instances that showed themselves, by their entry in the store, a greeting or the leader's word. */
export class KnownInstances {
	private readonly options: KnownInstancesOptions;
	private readonly met = new Map<string, NodeInfo>();

	constructor(options: KnownInstancesOptions) {
		this.options = options;
	}

	/** Takes note of an instance. */
	add(node: NodeInfo): void {
		if (node.name !== this.options.self.name) {
			this.met.set(node.name, node);
		}
	}

	/** All that are known. */
	all(): NodeInfo[] {
		for (const node of this.options.view.nodes()) {
			this.add(node);
		}

		return [...this.met.values()];
	}

	/** Shows this instance to all; who does not answer will see its entry. */
	async sendHello(): Promise<void> {
		const {net, self} = this.options;
		await Promise.allSettled(this.all().map(async node => net.call(node.addr, PeerOp.Hello, self, {timeoutMs: askTimeoutMs})));
	}

	/** The former leader and some others at random. */
	selectForQuery(leader: string | undefined): NodeInfo[] {
		const all = this.all();
		const first = all.filter(node => node.name === leader);
		const rest = all.filter(node => node.name !== leader).map(node => ({node, rank: this.options.random()})).toSorted((a, b) => a.rank - b.rank);
		return [...first, ...rest.map(({node}) => node)].slice(0, askedInstances);
	}

	/** Asks whom they hear; the answers of those that answer. */
	async queryLeader(nodes: readonly NodeInfo[]): Promise<LeaderQueryReply[]> {
		const {net} = this.options;
		const results = await Promise.allSettled(nodes.map(async node =>
			await net.call(node.addr, PeerOp.QueryLeader, undefined, {timeoutMs: askTimeoutMs}) as LeaderQueryReply));
		return results.flatMap(result => result.status === 'fulfilled' ? [result.value] : []);
	}
}
