import type {EligibleOwner, TargetInfo} from '@bluebellyard/core';

/** Time without an answer to a grant after which an owner loses its keys although the store still lists it, in milliseconds. */
const ownerTimeoutMs = 1200;

/** Largest share of silent targets of a failure domain at which they count as lost; above it the domain itself counts as unreachable. */
const maxLostShare = 0.5;

/** Share of its normal capacity that a cold target has. */
const coldCapacityShare = 0.3;

/** Measurements of targets, by target id. */
export type TargetMetrics = {
	/** Returns for how long the target has not answered grants, in milliseconds. */
	readonly silentMs: (target: string) => number;
	/** Returns the long-term slowness factor of the target; 1 is normal. */
	readonly slowness: (target: string) => number;
	/** Returns how much longer the target is cold, in milliseconds. */
	readonly coldLeftMs: (target: string) => number;
	/** Returns the most load that the target takes by the limit that it names, in slots of normal speed; infinite without a limit. */
	readonly limitedSlots: (target: string) => number;
};

/** Returns the targets that may own keys, with their capacities. */
export function findUsableOwners(targets: readonly TargetInfo[], metrics: TargetMetrics): EligibleOwner[] {
	const domains = new Map<string, {count: number; silent: number}>();
	const isSilent = ({id}: TargetInfo) => metrics.silentMs(id) > ownerTimeoutMs;
	for (const target of targets) {
		const stats = domains.get(target.domain) ?? {count: 0, silent: 0};
		stats.count += 1;
		stats.silent += isSilent(target) ? 1 : 0;
		domains.set(target.domain, stats);
	}

	const isLost = (target: TargetInfo) => {
		const {count, silent} = domains.get(target.domain)!;
		return isSilent(target) && silent <= count * maxLostShare;
	};

	return targets.filter(target => !isLost(target)).map(({id, slots}) => {
		const normalCapacity = slots / metrics.slowness(id);
		const capacity = metrics.coldLeftMs(id) > 0 ? normalCapacity * coldCapacityShare : normalCapacity;
		return {id, capacity: Math.min(capacity, metrics.limitedSlots(id))};
	});
}
