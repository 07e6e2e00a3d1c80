import type {EligibleOwner, TargetInfo} from '@bluebellyard/core';

/** Silence towards grants after which an owner loses its keys although the store still lists it, in milliseconds. */
const silentOwnerMs = 1200;

/** Share of a failure domain's targets that must answer for a silent one to count as lost: else the domain is cut off. */
const domainShare = 0.5;

/** Part of its usual capacity that a cold target has. */
const coldCapacity = 0.3;

/** What is known of targets, by process life. */
export type TargetMetrics = {
	/** For how long it has answered no grant, in milliseconds. */
	readonly silentMs: (target: string) => number;
	/** Lasting slowness; 1 is usual. */
	readonly slowness: (target: string) => number;
	/** How much longer it is cold, in milliseconds. */
	readonly coldLeftMs: (target: string) => number;
};

/** Targets that may own keys, with what they bear. */
export function usableOwners(targets: readonly TargetInfo[], facts: TargetMetrics): EligibleOwner[] {
	const domains = new Map<string, {count: number; silent: number}>();
	const isSilent = ({id}: TargetInfo) => facts.silentMs(id) > silentOwnerMs;
	for (const target of targets) {
		const row = domains.get(target.domain) ?? {count: 0, silent: 0};
		row.count += 1;
		row.silent += isSilent(target) ? 1 : 0;
		domains.set(target.domain, row);
	}

	const isLost = (target: TargetInfo) => {
		const {count, silent} = domains.get(target.domain)!;
		return isSilent(target) && silent <= count * domainShare;
	};

	return targets.filter(target => !isLost(target)).map(({id, slots}) => {
		const usual = slots / facts.slowness(id);
		return {id, capacity: facts.coldLeftMs(id) > 0 ? usual * coldCapacity : usual};
	});
}
