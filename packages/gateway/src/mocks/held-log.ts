import type {AppendedRecord, KeyedListing, TopicEnd} from '../ports/index.js';
import {MemoryLog} from './memory-log.js';

/** Kinds of calls to the store. */
export type StoreCall = 'list' | 'end' | 'append';

/** Store whose answers can be withheld after the calls were carried out. */
export class HeldLog extends MemoryLog {
	private heldCalls = new Set<StoreCall>();
	private readonly held: Array<() => void> = [];

	/** Number of answers that are withheld. */
	get heldCount(): number {
		return this.held.length;
	}

	/** Withholds the answers to calls of the given kinds from now on. */
	hold(...calls: readonly StoreCall[]): void {
		this.heldCalls = new Set(calls);
	}

	/** Sends the oldest withheld answer. */
	releaseOne(): void {
		this.held.shift()?.();
	}

	/** Sends all withheld answers and withholds none from now on. */
	releaseAll(): void {
		this.heldCalls.clear();
		for (const send of this.held.splice(0)) {
			send();
		}
	}

	override async list(topic: string): Promise<KeyedListing> {
		return this.delay('list', await super.list(topic));
	}

	override async end(topic: string): Promise<TopicEnd> {
		return this.delay('end', await super.end(topic));
	}

	override async append(topic: string, key: string, value: string, at?: number): Promise<AppendedRecord> {
		return this.delay('append', await super.append(topic, key, value, at));
	}

	private async delay<T>(call: StoreCall, answer: T): Promise<T> {
		if (this.heldCalls.has(call)) {
			await new Promise<void>(resolve => {
				this.held.push(resolve);
			});
		}

		return answer;
	}
}
