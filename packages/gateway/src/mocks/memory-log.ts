import {
	KeyedLog, StaleAppendError, UnknownAppendError, type AppendedRecord, type KeyedListing, type TopicEnd,
} from '../ports/index.js';

/** Fault of an append. */
export enum AppendFault {
	/** Nothing is written. */
	Refused = 'refused',
	/** The record is written but the answer is lost. */
	AnswerLost = 'answer-lost',
}

/** Keyed topics kept in memory. */
export class MemoryLog extends KeyedLog {
	/** Faults of the next appends, in order. */
	readonly faults: AppendFault[] = [];
	isDown = false;
	era = 0;
	private readonly topics = new Map<string, {end: number; rows: Map<string, {value: string; offset: number}>}>();

	override async list(topic: string): Promise<KeyedListing> {
		this.check();
		const {end, rows} = this.topic(topic);
		return {era: this.era, end, records: [...rows].map(([key, row]) => ({key, ...row}))};
	}

	override async end(topic: string): Promise<TopicEnd> {
		this.check();
		return {era: this.era, end: this.topic(topic).end};
	}

	override async append(topic: string, key: string, value: string, at?: number): Promise<AppendedRecord> {
		this.check();
		const fault = this.faults.shift();
		if (fault === AppendFault.Refused) {
			throw new Error('refused');
		}

		const state = this.topic(topic);
		if (at !== undefined && at !== state.end) {
			throw new StaleAppendError('the topic ends at another offset');
		}

		const offset = state.end;
		state.rows.set(key, {value, offset});
		state.end += 1;
		if (fault === AppendFault.AnswerLost) {
			throw new UnknownAppendError('no answer');
		}

		return {era: this.era, offset};
	}

	private check(): void {
		if (this.isDown) {
			throw new Error('the store is unreachable');
		}
	}

	private topic(name: string): {end: number; rows: Map<string, {value: string; offset: number}>} {
		const known = this.topics.get(name);
		if (known !== undefined) {
			return known;
		}

		const topic = {end: 0, rows: new Map<string, {value: string; offset: number}>()};
		this.topics.set(name, topic);
		return topic;
	}
}
