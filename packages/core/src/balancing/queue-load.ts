/** Load of a dispatch queue as its steward measures it. */
export type QueueLoad = {
	/** Slots of normal speed, which is also the work done per millisecond, in milliseconds. */
	readonly capacity: number;
	/** Work that waits and the rest of the work that runs, in milliseconds on one slot of normal speed. */
	readonly aheadMs: number;
};

/** Lower bound of a capacity in a quotient, in slots of normal speed. */
const minCapacity = 0.01;

/** Returns the time in which a queue does the work ahead, in milliseconds. */
export function expectedWaitMs({capacity, aheadMs}: QueueLoad): number {
	return aheadMs / Math.max(minCapacity, capacity);
}
