/**
 * Assigns dispatch queues to instances: with few changes, in proportion to
 * their processor time and, for large responses, to their bandwidth, and inside
 * the failure domain of the targets.
 */
import type {NodeInfo} from '../view/index.js';
import {StewardLoads} from './steward-loads.js';

/** A dispatch queue that needs a steward. */
export type QueueToAssign = {
	readonly queueId: string;
	readonly domain: string;
	/** Number of slots of its targets; 1 if all queues count the same. */
	readonly weight?: number;
	/** Whether its responses are so large that the bandwidth of the steward matters. */
	readonly isLarge?: boolean;
};

/** Factor by which another steward's load must be below that of the present steward's link before a queue moves: a move back would need as much in the other direction, so that queues do not move to and fro. */
const minMoveGain = 2;

/** Returns the steward of each dispatch queue by queue id; empty if no instance is live. Instances that are short of CPU time get queues only if their domain has no other. */
export function planStewards(
	queues: readonly QueueToAssign[],
	live: readonly NodeInfo[],
	currentSteward: (queueId: string) => string | undefined,
	isShort: (name: string) => boolean = () => false,
): Map<string, string> {
	const loads = new StewardLoads(queues, live, isShort);
	const plan = new Map<string, string>();
	const unassigned: QueueToAssign[] = [];
	for (const queue of queues) {
		const name = currentSteward(queue.queueId);
		const candidates = findCandidates(queue, live, isShort);
		if (name !== undefined && candidates.some(node => node.name === name)) {
			plan.set(queue.queueId, name);
			loads.add(name, queue);
		} else {
			unassigned.push(queue);
		}
	}

	for (const queue of unassigned.toSorted(compareDemands)) {
		const best = findLeastLoaded(queue, findCandidates(queue, live, isShort), loads);
		if (best !== undefined) {
			plan.set(queue.queueId, best.name);
			loads.add(best.name, queue);
		}
	}

	relieveLinks({queues, plan, loads}, queue => findCandidates(queue, live, isShort));
	return plan;
}

/** Moves queues with large responses away from instances whose link is loaded much more than another steward would be. */
function relieveLinks(
	{queues, plan, loads}: {queues: readonly QueueToAssign[]; plan: Map<string, string>; loads: StewardLoads},
	candidatesFor: (queue: QueueToAssign) => readonly NodeInfo[],
): void {
	for (const queue of queues.filter(({isLarge}) => isLarge === true).toSorted(compareDemands)) {
		const candidates = candidatesFor(queue);
		const steward = candidates.find(({name}) => name === plan.get(queue.queueId));
		const others = candidates.filter(node => node !== steward && node.linkMbps !== undefined);
		const best = findLeastLoaded(queue, others, loads);
		if (steward !== undefined && best !== undefined && loads.linkLoad(steward) >= minMoveGain * loads.loadWith(best, queue)) {
			plan.set(queue.queueId, best.name);
			loads.remove(steward.name, queue);
			loads.add(best.name, queue);
		}
	}
}

/** Orders queues with large responses before others, and heavy ones before light ones, which fill the gaps. */
function compareDemands(a: QueueToAssign, b: QueueToAssign): number {
	return Number(b.isLarge ?? false) - Number(a.isLarge ?? false) || (b.weight ?? 1) - (a.weight ?? 1);
}

function findLeastLoaded(queue: QueueToAssign, candidates: readonly NodeInfo[], loads: StewardLoads): NodeInfo | undefined {
	return candidates.toSorted((a, b) => loads.loadWith(a, queue) - loads.loadWith(b, queue)).at(0);
}

function findCandidates(queue: QueueToAssign, live: readonly NodeInfo[], isShort: (name: string) => boolean): readonly NodeInfo[] {
	const sameDomain = live.filter(node => node.domain === queue.domain);
	const large = sameDomain.filter(({name}) => !isShort(name));
	if (large.length > 0) {
		return large;
	}

	return sameDomain.length > 0 ? sameDomain : live;
}
