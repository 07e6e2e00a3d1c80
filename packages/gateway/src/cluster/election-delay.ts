import type {NodeInfo} from '../view/index.js';

/** Time for which a small instance waits so that a larger one can become leader first; long enough for a few store calls. */
const smallInstanceDelayMs = 300;

/** Share of the largest instance's processor time from which an instance counts as large. */
const largeShare = 0.75;

/** Returns the delay before an instance stands for election, in milliseconds; larger instances come first because leading takes processor time. */
export function electionDelayMs(self: NodeInfo, others: readonly NodeInfo[]): number {
	const largest = Math.max(...others.map(node => node.cores), self.cores);
	return self.cores < largest * largeShare ? smallInstanceDelayMs : 0;
}
