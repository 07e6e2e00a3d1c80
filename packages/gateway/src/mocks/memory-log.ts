import {
	KeyedLog, StaleAppendError, UnknownAppendError, type AppendedRecord, type KeyedListing, type TopicEnd,
} from '../ports/index.js';

/** Fault of an append. */
export enum AppendFault {
	/** Nothing is written. */
	Refused = 'refused',
	/** The record is written but the answer is lost. */
	AnswerLost = 'answer-lost',
	/** Nothing is written and nothing is answered; the writer can't know which. */
	Unanswered = 'unanswered',
}

type StoredRecord = {readonly key: string; readonly value: string; readonly offset: number};

/** Keyed topics kept in memory. */
export class MemoryLog extends KeyedLog {
	/** Faults of the next appends, in order. */
	readonly faults: AppendFault[] = [];
	isDown = false;
	era = 0;
	/** Number of appends that were carried out. */
	appends = 0;
	private readonly topics = new Map<string, StoredRecord[]>();

	override get newestEra(): number {
		return this.era;
	}

	override async list(topic: string): Promise<KeyedListing> {
		this.check();
		const rows = this.topic(topic);
		return {era: this.era, end: rows.length, records: [...new Map(rows.map(row => [row.key, row])).values()]};
	}

	override async end(topic: string): Promise<TopicEnd> {
		this.check();
		return {era: this.era, end: this.topic(topic).length};
	}

	override async append(topic: string, key: string, value: string, at?: number): Promise<AppendedRecord> {
		this.check();
		const fault = this.faults.shift();
		if (fault === AppendFault.Refused) {
			throw new Error('refused');
		}

		if (fault === AppendFault.Unanswered) {
			throw new UnknownAppendError('no answer');
		}

		const rows = this.topic(topic);
		const offset = rows.length;
		if (at !== undefined && at !== offset) {
			throw new StaleAppendError('the topic ends at another offset');
		}

		rows.push({key, value, offset});
		this.appends += 1;
		if (fault === AppendFault.AnswerLost) {
			throw new UnknownAppendError('no answer');
		}

		return {era: this.era, offset};
	}

	/** Returns from an older copy that lacks the newest `count` records of a topic; their offsets are assigned again. */
	returnWithout(topic: string, count: number): void {
		const rows = this.topic(topic);
		rows.length = Math.max(0, rows.length - count);
		this.era += 1;
	}

	/** Removes all topics. */
	clear(): void {
		this.topics.clear();
	}

	private check(): void {
		if (this.isDown) {
			throw new Error('the store is unreachable');
		}
	}

	private topic(name: string): StoredRecord[] {
		const rows = this.topics.get(name) ?? [];
		this.topics.set(name, rows);
		return rows;
	}
}
