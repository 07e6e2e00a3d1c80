import type {RightOptions} from './right.js';

/** What the evicting instance knows about another member. */
export type EvictionMember = {
	readonly id: string;
	readonly domain: string;
	/** Whether an eviction of this member has been folded. */
	readonly evicted: boolean;
	/** Whether the member has confirmed that it folded the current eviction. */
	readonly confirmed: boolean;
};

/** Conditions for an eviction to be complete. */
export type EvictionWait = {
	/**
	 * Time in milliseconds to wait after the last confirmation, by the clock of
	 * the evicting instance and with a drift margin. `Infinity` if the eviction
	 * cannot complete without further confirmations.
	 */
	readonly waitMs: number;
	/** Ids of members that must be evicted as well. */
	readonly evictToo: readonly string[];
};

/**
 * Computes how long the instance that evicts a member of `domain` must wait.
 * `others` are all members except the evicted one; leave out the members of
 * domains that the operators declared lost.
 */
export function evictionWait(
	options: RightOptions,
	domain: string,
	others: readonly EvictionMember[],
): EvictionWait {
	const {rightMs, isolationMs, driftShare} = options;
	const unconfirmed = others.filter(member => !member.confirmed);
	const unconfirmedInside = unconfirmed.filter(member => member.domain === domain);
	const unconfirmedOutside = unconfirmed.filter(member => member.domain !== domain);
	const evictToo = unconfirmedInside.filter(member => !member.evicted).map(member => member.id);
	if (unconfirmedOutside.length > 0) {
		return {waitMs: Infinity, evictToo};
	}

	const boundMs = unconfirmedInside.length > 0 ? isolationMs + rightMs : rightMs;
	return {waitMs: boundMs * (1 + driftShare), evictToo};
}
