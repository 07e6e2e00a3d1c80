import {InstanceState, type InstanceRow} from '@bluebellyard/core';

/** Records when this process saw the removal of each instance. One that is still being evicted may act, and counts as not removed. */
export class RemovalTimes {
	private readonly removedAt = new Map<string, number>();

	/** Records changes of the table at monotonic time `now`, in milliseconds. An instance removed before this process started counts from the first call. */
	update(instances: ReadonlyMap<string, InstanceRow>, now: number): void {
		for (const {id, state} of instances.values()) {
			if (state === InstanceState.Removed && !this.removedAt.has(id)) {
				this.removedAt.set(id, now);
			}
		}

		for (const id of this.removedAt.keys()) {
			if (!instances.has(id)) {
				this.removedAt.delete(id);
			}
		}
	}

	/** Returns whether the instance was removed after monotonic time `time`. */
	isRemovedAfter(id: string, time: number): boolean {
		return (this.removedAt.get(id) ?? -Infinity) > time;
	}

	/** Returns whether the instance was removed at or before monotonic time `time`. */
	isRemovedBefore(id: string, time: number): boolean {
		return (this.removedAt.get(id) ?? Infinity) <= time;
	}
}
