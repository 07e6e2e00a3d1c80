import type {NodeInfo} from '../view/index.js';

/** Time for which a small instance waits so that a larger one can become leader first; long enough for a few store calls. */
const smallInstanceDelayMs = 300;

/** The same for an instance that is short of CPU time; longer than the interval of pings, so that larger ones have noticed the loss by then. */
const shortInstanceDelayMs = 800;

/** Share of the largest instance's processor time from which an instance counts as large. */
const largeShare = 0.75;

/**
 * Returns the delay before an instance stands for election, in milliseconds; larger instances come first because leading
 * takes processor time. An instance with fewer than `shortCores` cores waits longest: as leader of a large deployment it
 * renews grants too late, so that the leases of healthy targets expire.
 */
export function electionDelayMs(self: NodeInfo, others: readonly NodeInfo[], shortCores = 0): number {
	const largest = Math.max(...others.map(node => node.cores), self.cores);
	if (self.cores >= largest * largeShare) {
		return 0;
	}

	return self.cores < shortCores ? shortInstanceDelayMs : smallInstanceDelayMs;
}
