import type {NodeInfo} from '../view/index.js';
import type {QueueToAssign} from './steward-plan.js';

type Load = {
	weight: number;
	/** Weight of the queues with large responses. */
	largeWeight: number;
};

/** Weights of the dispatch queues of each instance, in relation to its CPU time and, for large responses, to its bandwidth. */
export class StewardLoads {
	private readonly loads: Map<string, Load>;
	/** Factor from weight for each Mbit/s to weight for each core, so that an even load of all links equals an even load of all cores. */
	private readonly linkFactor: number;

	/** `live` are the instances that may get queues. */
	constructor(queues: readonly QueueToAssign[], live: readonly NodeInfo[], isShort: (name: string) => boolean) {
		this.loads = new Map(live.map(({name}) => [name, {weight: 0, largeWeight: 0}]));
		const large = live.filter(({name}) => !isShort(name));
		const stewards = large.length > 0 ? large : live;
		const total = sum(queues, ({weight = 1}) => weight);
		const largeTotal = sum(queues, ({weight = 1, isLarge}) => isLarge === true ? weight : 0);
		const cores = sum(stewards, node => node.cores);
		this.linkFactor = largeTotal === 0 || cores === 0 ? 0 : total / cores * sum(stewards, ({linkMbps = 0}) => linkMbps) / largeTotal;
	}

	/** Adds a queue to an instance. */
	add(name: string, queue: QueueToAssign): void {
		this.change(name, queue, 1);
	}

	/** Removes a queue from an instance. */
	remove(name: string, queue: QueueToAssign): void {
		this.change(name, queue, -1);
	}

	/** Returns the load that an instance would have with one more queue: of its CPU time, or of its link if responses are large and that is scarcer. */
	loadWith(node: NodeInfo, {weight = 1, isLarge}: QueueToAssign): number {
		const cpuLoad = (this.loads.get(node.name)!.weight + weight) / node.cores;
		return isLarge === true ? Math.max(cpuLoad, this.linkLoad(node, weight)) : cpuLoad;
	}

	/** Returns the load of the link of an instance with some more weight; 0 if its bandwidth is unknown. */
	linkLoad({name, linkMbps}: NodeInfo, added = 0): number {
		return linkMbps === undefined ? 0 : (this.loads.get(name)!.largeWeight + added) / linkMbps * this.linkFactor;
	}

	private change(name: string, {weight = 1, isLarge}: QueueToAssign, sign: 1 | -1): void {
		const load = this.loads.get(name)!;
		load.weight += sign * weight;
		load.largeWeight += isLarge === true ? sign * weight : 0;
	}
}

function sum<T>(items: readonly T[], valueOf: (item: T) => number): number {
	let total = 0;
	for (const item of items) {
		total += valueOf(item);
	}

	return total;
}
