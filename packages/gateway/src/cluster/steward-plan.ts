/**
 * Assigns dispatch queues to instances: with few changes, in proportion to
 * their processor time, and inside the failure domain of the targets.
 */
import type {NodeInfo} from '../view/index.js';

/** A dispatch queue that needs a steward. */
export type QueueToAssign = {
	readonly queueId: string;
	readonly domain: string;
};

/** Returns the steward of each dispatch queue by queue id; empty if no instance is live. Instances that are short of CPU time get queues only if their domain has no other. */
export function planStewards(
	queues: readonly QueueToAssign[],
	live: readonly NodeInfo[],
	currentSteward: (queueId: string) => string | undefined,
	isShort: (name: string) => boolean = () => false,
): Map<string, string> {
	const counts = new Map<string, number>(live.map(node => [node.name, 0]));
	const plan = new Map<string, string>();
	const unassigned: QueueToAssign[] = [];
	for (const queue of queues) {
		const name = currentSteward(queue.queueId);
		const candidates = findCandidates(queue, live, isShort);
		if (name !== undefined && candidates.some(node => node.name === name)) {
			plan.set(queue.queueId, name);
			counts.set(name, counts.get(name)! + 1);
		} else {
			unassigned.push(queue);
		}
	}

	for (const queue of unassigned) {
		const candidates = findCandidates(queue, live, isShort);
		if (candidates.length > 0) {
			const relativeLoad = ({name, cores}: NodeInfo) => (counts.get(name)! + 1) / cores;
			const [{name}] = candidates.toSorted((a, b) => relativeLoad(a) - relativeLoad(b));
			plan.set(queue.queueId, name);
			counts.set(name, counts.get(name)! + 1);
		}
	}

	return plan;
}

function findCandidates(queue: QueueToAssign, live: readonly NodeInfo[], isShort: (name: string) => boolean): readonly NodeInfo[] {
	const sameDomain = live.filter(node => node.domain === queue.domain);
	const large = sameDomain.filter(({name}) => !isShort(name));
	if (large.length > 0) {
		return large;
	}

	return sameDomain.length > 0 ? sameDomain : live;
}
