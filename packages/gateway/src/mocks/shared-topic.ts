import {performance} from 'node:perf_hooks';
import {sleep} from '../net/index.js';
import {Feed, type FeedChange, type FeedReadOptions} from '../ports/index.js';

/** Time without an answer after which a read fails, in milliseconds, beside the time for which the store may wait. */
const readTimeoutMs = 750;

/** Interval at which a waiting read looks for new records, in milliseconds. */
const pollMs = 2;

/** Path from one instance to the store. */
export class StoreLink {
	/** Whether nothing that the instance sends is answered. */
	isSilent = false;
	/** Number of calls so far. */
	calls = 0;
	/** Increases with each loss of answers; answers to calls from before it are lost. */
	private losses = 0;

	/** Loses the answers to all calls that wait for one; later calls are answered. */
	loseAnswers(): void {
		this.losses += 1;
	}

	/** Returns the answer, or rejects after the timeout if it is lost. */
	async call<T>(timeoutMs: number, answer: () => Promise<T>): Promise<T> {
		const {losses} = this;
		const end = performance.now() + timeoutMs;
		this.calls += 1;
		const result = this.isSilent ? undefined : await answer();
		if (result === undefined || this.isSilent || this.losses !== losses) {
			await sleep(Math.max(0, end - performance.now()));
			throw new Error(`no answer within ${timeoutMs} ms`);
		}

		return result;
	}
}

/** Keyed records in memory that several instances read, each over a link of its own. */
export class SharedTopic<T> {
	readonly records: Array<{readonly key: string; readonly value: T | undefined}> = [];

	/** Number of entries. */
	get size(): number {
		return [...new Map(this.records.map(({key, value}) => [key, value])).values()].filter(value => value !== undefined).length;
	}

	/** Adds or replaces an entry; removes it without a value. */
	put(key: string, value: T | undefined): void {
		this.records.push({key, value});
	}

	/** Returns a reader of all records. */
	open(link: StoreLink): Feed<T> {
		return new SharedFeed(this, link);
	}
}

class SharedFeed<T> extends Feed<T> {
	private offset: number | undefined;

	constructor(private readonly topic: SharedTopic<T>, private readonly link: StoreLink) {
		super();
	}

	override restart(): void {
		this.offset = undefined;
	}

	override fork(): Feed<T> {
		return this.topic.open(this.link);
	}

	override async next(waitMs: number, {timeoutMs = readTimeoutMs}: FeedReadOptions = {}): Promise<FeedChange<T>> {
		const {records} = this.topic;
		const from = this.offset;
		const end = await this.link.call(timeoutMs + waitMs, async () => {
			const waitEnd = performance.now() + (from === undefined ? 0 : waitMs);
			do {
				// eslint-disable-next-line no-await-in-loop
				await sleep(pollMs);
			} while (records.length === from && performance.now() < waitEnd);

			return records.length;
		});
		this.offset = end;
		const newest = new Map(records.slice(from ?? 0, end).map(({key, value}) => [key, value]));
		return {
			era: 0,
			isFull: from === undefined,
			set: new Map([...newest].filter((entry): entry is [string, T & {}] => entry[1] !== undefined)),
			gone: [...newest].filter(([, value]) => value === undefined).map(([key]) => key),
		};
	}
}
