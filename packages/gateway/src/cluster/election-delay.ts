import type {NodeInfo} from '../view/index.js';

/** Time that larger instances have before others to take the lead, in milliseconds: a few calls to the store. */
const waitMs = 300;

/** Part of the largest instance's processor time from which an instance counts as large, too. */
const largeShare = 0.75;

/** How long an instance leaves it to larger ones to take the lead, in milliseconds: leading takes processor time. */
export function electionDelayMs(self: NodeInfo, others: readonly NodeInfo[]): number {
	const largest = Math.max(...others.map(node => node.cores), self.cores);
	return self.cores < largest * largeShare ? waitMs : 0;
}
