/**
 * Decides which instance is in charge of which desk. Few changes, numbers in
 * proportion to the processors, and inside the failure domain of the targets.
 */
import type {NodeInfo} from '../view/index.js';

/** A desk that needs an instance. */
export type QueueToAssign = {
	readonly desk: string;
	readonly domain: string;
};

/** Assigns each desk to a live instance; nobody when there is none. */
export function planStewards(
	needs: readonly QueueToAssign[],
	live: readonly NodeInfo[],
	current: (desk: string) => string | undefined,
): Map<string, string> {
	const count = new Map<string, number>(live.map(node => [node.name, 0]));
	const plan = new Map<string, string>();
	const open: QueueToAssign[] = [];
	for (const need of needs) {
		const name = current(need.desk);
		const candidates = candidatesFor(need, live);
		if (name !== undefined && candidates.some(node => node.name === name)) {
			plan.set(need.desk, name);
			count.set(name, count.get(name)! + 1);
		} else {
			open.push(need);
		}
	}

	for (const need of open) {
		const candidates = candidatesFor(need, live);
		if (candidates.length > 0) {
			const load = ({name, cores}: NodeInfo) => (count.get(name)! + 1) / cores;
			const [{name}] = candidates.toSorted((a, b) => load(a) - load(b));
			plan.set(need.desk, name);
			count.set(name, count.get(name)! + 1);
		}
	}

	return plan;
}

function candidatesFor(need: QueueToAssign, live: readonly NodeInfo[]): readonly NodeInfo[] {
	const near = live.filter(node => node.domain === need.domain);
	return near.length > 0 ? near : live;
}
