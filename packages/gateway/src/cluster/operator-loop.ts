import type {Clock} from '@bluebellyard/core';
import {sleep} from '../net/index.js';
import type {FeedChange, OperatorEntry, OperatorFeed} from '../ports/index.js';

/** Longest wait of the store for changes by operators, in milliseconds; about the interval between two reads of the targets' records. */
const waitMs = 400;

/** Time after that wait by which the answer must be there, in milliseconds; far longer than usual. A lost answer delays a configuration by both times. */
const answerTimeoutMs = 250;

/** Delay before the next read after two that failed, in milliseconds. */
const retryDelayMs = 250;

/** Longest time for which an answer counts as being decoded, in milliseconds: the longest time within which a configuration must be in force. */
const maxDecodeMs = 3000;

/** Options of `OperatorLoop`. */
export type OperatorLoopOptions = {
	readonly feed: OperatorFeed;
	readonly clock: Clock;
	/** Loads what must be known before an answer takes effect. If it rejects, the read counts as failed. */
	readonly prepare?: () => Promise<void>;
	/** Called with each answer, and the monotonic time up to which the records are known by it, in milliseconds. */
	readonly onChange: (change: FeedChange<OperatorEntry>, knownAt: number) => void;
	readonly onFailure: (err: unknown) => void;
};

/**
 * Reads the records of operators, one read after the other, at first all of them. A read that waits for changes and is
 * not answered in time is repeated at once without a wait, and with the usual timeout, as the store may be slow.
 */
export class OperatorLoop {
	private readonly options: OperatorLoopOptions;
	private running = false;
	/** Increases with each start, so that reads of an earlier start have no effect. */
	private generation = 0;
	/** Time at which the store gave an answer that has not taken effect yet. */
	private answeredAt: number | undefined;

	constructor(options: OperatorLoopOptions) {
		this.options = options;
	}

	/** Whether it reads. */
	get isRunning(): boolean {
		return this.running;
	}

	/** Whether an answer is being decoded, which takes long for many keys of teams. */
	get isDecoding(): boolean {
		return this.answeredAt !== undefined && this.options.clock.now() - this.answeredAt < maxDecodeMs;
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
		const {clock, onChange, onFailure} = this.options;
		const isCurrent = () => this.running && generation === this.generation;
		let hasFailed = false;
		while (isCurrent()) {
			const startedAt = clock.now();
			try {
				// Reads must not overlap.
				// eslint-disable-next-line no-await-in-loop
				const change = await this.read(hasFailed);
				if (isCurrent()) {
					// An answer without changes may be late, so that the end of the store's wait counts.
					onChange(change, change.isFull || hasFailed ? startedAt : Math.min(clock.now(), startedAt + waitMs));
				}

				hasFailed = false;
			} catch (err) {
				if (isCurrent()) {
					onFailure(err);
				}

				if (hasFailed) {
					// eslint-disable-next-line no-await-in-loop
					await sleep(retryDelayMs);
				}

				hasFailed = true;
			} finally {
				this.answeredAt = undefined;
			}
		}
	}

	private async read(hasFailed: boolean): Promise<FeedChange<OperatorEntry>> {
		const {feed, clock, prepare} = this.options;
		const onAnswer = () => {
			this.answeredAt = clock.now();
		};

		const [change] = await Promise.all([hasFailed ? feed.next(0, {onAnswer}) : feed.next(waitMs, {timeoutMs: answerTimeoutMs, onAnswer}), prepare?.()]);
		return change;
	}
}
