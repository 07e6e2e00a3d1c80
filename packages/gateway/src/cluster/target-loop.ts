import type {Clock, TargetInfo} from '@bluebellyard/core';
import {sleep} from '../net/index.js';
import type {FeedChange, TargetFeed} from '../ports/index.js';

/** Interval between two reads of the targets' records, in milliseconds: delays a heartbeat by a third of its interval at most, and is well below the time for draining. */
const readIntervalMs = 450;

/** Delay before the next read after a failed one, in milliseconds. */
const retryDelayMs = 250;

/** Options of `TargetLoop`. */
export type TargetLoopOptions = {
	readonly feed: TargetFeed;
	readonly clock: Clock;
	/** Called with each answer, and the monotonic time at which the read began, in milliseconds. */
	readonly onChange: (change: FeedChange<TargetInfo>, startedAt: number) => void;
	readonly onFailure: (err: unknown) => void;
};

/** Reads the records of targets at an interval, at first all of them. */
export class TargetLoop {
	private readonly options: TargetLoopOptions;
	private running = false;
	/** Increases with each start, so that reads of an earlier start have no effect. */
	private generation = 0;

	constructor(options: TargetLoopOptions) {
		this.options = options;
	}

	/** Whether it reads. */
	get isRunning(): boolean {
		return this.running;
	}

	/** Starts reading. */
	start(): void {
		if (!this.running) {
			this.running = true;
			this.generation += 1;
			this.options.feed.restart();
			void this.run(this.generation);
		}
	}

	/** Stops reading; an answer that is on its way has no effect. */
	stop(): void {
		this.running = false;
	}

	private async run(generation: number): Promise<void> {
		const {feed, clock, onChange, onFailure} = this.options;
		const isCurrent = () => this.running && generation === this.generation;
		while (isCurrent()) {
			const startedAt = clock.now();
			try {
				// eslint-disable-next-line no-await-in-loop
				const change = await feed.next(0);
				if (isCurrent()) {
					onChange(change, startedAt);
				}
			} catch (err) {
				if (isCurrent()) {
					onFailure(err);
				}

				// eslint-disable-next-line no-await-in-loop
				await sleep(retryDelayMs);
			}

			// eslint-disable-next-line no-await-in-loop
			await sleep(Math.max(1, readIntervalMs - (clock.now() - startedAt)));
		}
	}
}
