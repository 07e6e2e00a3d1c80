import {InstanceState, type InstanceRow} from '@bluebellyard/core';

/** When instances stopped being members, as seen by this process. */
export class RemovalTimes {
	private readonly seenAt = new Map<string, number>();

	/** Notes what changed at monotonic time `now`. One that had gone before this process started counts from its start. */
	update(instances: ReadonlyMap<string, InstanceRow>, now: number): void {
		for (const {id, state} of instances.values()) {
			if (state !== InstanceState.Member && !this.seenAt.has(id)) {
				this.seenAt.set(id, now);
			}
		}

		for (const id of this.seenAt.keys()) {
			if (!instances.has(id)) {
				this.seenAt.delete(id);
			}
		}
	}

	/** Whether the instance stopped being a member after monotonic time `time`. */
	isRemovedAfter(id: string, time: number): boolean {
		return (this.seenAt.get(id) ?? -Infinity) > time;
	}

	/** Whether the instance stopped being a member at monotonic time `time` or before. */
	isRemovedBefore(id: string, time: number): boolean {
		return (this.seenAt.get(id) ?? Infinity) <= time;
	}
}
