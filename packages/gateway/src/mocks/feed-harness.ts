import {ManualClock, TargetPhase, type TargetInfo} from '@bluebellyard/core';
import {FeedReader} from '../cluster/index.js';
import type {OperatorEntry} from '../ports/index.js';
import {Telemetry} from '../telemetry/index.js';
import {View} from '../view/index.js';
import {MemoryFeed} from './memory-feed.js';

/** A target that is ready. */
export const feedTarget: TargetInfo = {
	id: 'i@1', name: 'i', service: 's', addr: '10.0.0.1:1', domain: 'x', slots: 2, phase: TargetPhase.Ready, bornAt: 1, coldLeftMs: 0,
};

/** A feed reader over feeds in memory. It reads in real time, but judges ages by the manual clock. */
export class FeedHarness {
	readonly clock = new ManualClock(10_000);
	readonly targets = new MemoryFeed<TargetInfo>();
	readonly operators = new MemoryFeed<OperatorEntry>();
	readonly reader: FeedReader;
	readonly view: View;

	/** The view of a former leader may be given. */
	constructor(view = new View()) {
		this.view = view;
		const {operators, targets, clock} = this;
		this.reader = new FeedReader({
			operators, targets, view, clock, telemetry: new Telemetry(clock), heartbeatMs: 1000,
		});
	}
}

/** Waits until a condition holds; resolves to false after at least 5 s. */
export async function until(condition: () => boolean): Promise<boolean> {
	for (let i = 0; i < 500; i += 1) {
		if (condition()) {
			return true;
		}

		// eslint-disable-next-line no-await-in-loop
		await new Promise(resolve => {
			setTimeout(resolve, 10);
		});
	}

	return false;
}
