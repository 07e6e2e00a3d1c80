/**
 * The other instances that this one knows of, and the query that it sends them before an election.
 */
import type {PeerNet} from '../peers/index.js';
import type {NodeInfo, View} from '../view/index.js';
import type {Directory} from './directory.js';
import {PeerOp, type LeaderQueryReply} from './messages.js';

/** Timeout of calls to other instances, in milliseconds. */
const queryTimeoutMs = 350;

/** Number of instances that are queried before an election. */
const maxQueriedInstances = 6;

/** Options of `KnownInstances`. */
export type KnownInstancesOptions = {
	readonly self: NodeInfo;
	readonly view: View;
	readonly net: PeerNet;
	/** Returns a random number from 0 to 1. */
	readonly random: () => number;
};

/** Instances known by their entry in the store, their hello message or the leader's view. */
export class KnownInstances {
	private readonly options: KnownInstancesOptions;
	private readonly nodes = new Map<string, NodeInfo>();

	constructor(options: KnownInstancesOptions) {
		this.options = options;
	}

	/** Adds an instance, or replaces its entry. */
	add(node: NodeInfo): void {
		if (node.name !== this.options.self.name) {
			this.nodes.set(node.name, node);
		}
	}

	/** Adds all instances that are registered in the store. */
	async loadFrom(directory: Directory): Promise<void> {
		for (const node of await directory.list()) {
			this.add(node);
		}
	}

	/** Returns all known instances. */
	all(): NodeInfo[] {
		for (const node of this.options.view.nodes()) {
			this.add(node);
		}

		return [...this.nodes.values()];
	}

	/** Announces this instance to all others; those that miss the message find its entry in the store. */
	async sendHello(): Promise<void> {
		const {net, self} = this.options;
		await Promise.allSettled(this.all().map(async node => net.call(node.addr, PeerOp.Hello, self, {timeoutMs: queryTimeoutMs})));
	}

	/** Selects the given leader and some other instances at random. */
	selectForQuery(leader: string | undefined): NodeInfo[] {
		const all = this.all();
		const first = all.filter(node => node.name === leader);
		const rest = all.filter(node => node.name !== leader).map(node => ({node, rank: this.options.random()})).toSorted((a, b) => a.rank - b.rank);
		return [...first, ...rest.map(({node}) => node)].slice(0, maxQueriedInstances);
	}

	/** Asks instances for their contact with a leader. Resolves to the answers; instances that do not answer are left out. */
	async queryLeader(nodes: readonly NodeInfo[]): Promise<LeaderQueryReply[]> {
		const {net} = this.options;
		const results = await Promise.allSettled(nodes.map(async node =>
			await net.call(node.addr, PeerOp.QueryLeader, undefined, {timeoutMs: queryTimeoutMs}) as LeaderQueryReply));
		return results.flatMap(result => result.status === 'fulfilled' ? [result.value] : []);
	}
}
