import type {Clock} from '@bluebellyard/core';
import type {Telemetry} from '../telemetry/index.js';
import {cutPart, type NodeInfo, type View} from '../view/index.js';

/** Time from the start of a term until an instance that is not live is forgotten, in milliseconds; a new leader has heard of all live ones by then. */
const pruneDelayMs = 2000;

/** Options of the record of instances that are cut off. */
export type CutOffInstancesOptions = {
	readonly view: View;
	readonly clock: Clock;
	readonly telemetry: Telemetry;
	/** Called when an instance is found cut off, or reaches the targets again. */
	readonly onChange: () => void;
};

/** Publishes, as the leader, which instances are cut off from the targets. A new leader continues with what is in the view. */
export class CutOffInstances {
	private readonly options: CutOffInstancesOptions;
	private readonly startedAt: number;

	constructor(options: CutOffInstancesOptions) {
		this.options = options;
		this.startedAt = options.clock.now();
	}

	/** Records what an instance says of itself. */
	record(instance: string, isCutOff: boolean): void {
		const {view, telemetry, onChange} = this.options;
		const key = `${cutPart}/${instance}`;
		if (isCutOff ? view.store.set(key, true) : view.store.remove(key)) {
			telemetry.info('paths', isCutOff ? 'An instance is cut off from the targets; its queues move.' : 'An instance reaches the targets again.', {instance, cutOff: [...view.cutOffInstances]});
			onChange();
		}
	}

	/** Forgets instances that are not live; they tell after their return. */
	prune(live: readonly NodeInfo[]): void {
		const {view, clock} = this.options;
		if (clock.now() - this.startedAt < pruneDelayMs) {
			return;
		}

		for (const name of view.cutOffInstances) {
			if (!live.some(node => node.name === name)) {
				this.record(name, false);
			}
		}
	}
}

/** Returns the instances that are not cut off; all of them if there is no other one, since then nothing is won by a move. */
export function withoutCutOff(live: readonly NodeInfo[], isCutOff: (name: string) => boolean): readonly NodeInfo[] {
	const usable = live.filter(({name}) => !isCutOff(name));
	return usable.length > 0 ? usable : live;
}
