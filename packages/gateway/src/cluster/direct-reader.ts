import type {Clock} from '@bluebellyard/core';
import type {FeedChange, OperatorEntry, OperatorFeed} from '../ports/index.js';
import type {Telemetry} from '../telemetry/index.js';
import type {View} from '../view/index.js';
import {OperatorLoop} from './operator-loop.js';

/** Options of `DirectReader`. */
export type DirectReaderOptions = {
	readonly operators: OperatorFeed;
	readonly view: View;
	readonly clock: Clock;
	readonly telemetry: Telemetry;
	/** Called after each read of the operators' records, with the monotonic time up to which they are known, in milliseconds. */
	readonly onOperatorsRead: (knownAt: number) => void;
};

/**
 * Reads the records of operators on a follower whose leader does not tell it in time what they are. What it reads takes
 * effect beside the view of the leader, which stays as it is, so that the next changes of a leader still apply to it.
 */
export class DirectReader {
	private readonly options: DirectReaderOptions;
	private readonly loop: OperatorLoop;
	private hasFailed = false;

	constructor(options: DirectReaderOptions) {
		const {operators, clock, onOperatorsRead} = options;
		this.options = options;
		this.loop = new OperatorLoop({
			feed: operators.fork(),
			clock,
			onChange: (change, knownAt) => {
				this.apply(change);
				onOperatorsRead(knownAt);
			},
			onFailure: err => {
				this.reportFailure(err);
			},
		});
	}

	/** Whether it reads. */
	get isRunning(): boolean {
		return this.loop.isRunning;
	}

	/** Starts reading. */
	start(): void {
		this.hasFailed = false;
		this.loop.start();
	}

	/** Stops reading. */
	stop(): void {
		this.loop.stop();
	}

	private apply({set}: FeedChange<OperatorEntry>): void {
		this.hasFailed = false;
		for (const entry of set.values()) {
			if (entry.kind === 'config') {
				this.options.view.setConfigAhead(entry.config);
			}
		}
	}

	/** Logs the first of several failures in succession. */
	private reportFailure(err: unknown): void {
		if (!this.hasFailed) {
			this.hasFailed = true;
			this.options.telemetry.warn('config', 'The records of operators could not be read on this instance either; trying again.', {err});
		}
	}
}
