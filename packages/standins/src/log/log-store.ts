/** One stored record. */
export type StoredRecord = {
	readonly offset: number;
	readonly data: string;
};

/** Limits for how long records are retained. */
export type Retention = {
	/** Age after which a record is dropped, in milliseconds; 0 for never. */
	readonly maxAgeMs: number;
	/** Maximum number of records retained; 0 for no limit. */
	readonly maxRecords: number;
};

type RetainedRecord = StoredRecord & {readonly at: number};

/** Append-only records with offsets from 1 and limited retention. */
export class LogStore {
	/** Offset of the oldest record still held, or of the next record if none is held. */
	first = 1;
	private readonly retained: RetainedRecord[] = [];
	private readonly retention: Retention;

	constructor(retention: Retention) {
		this.retention = retention;
	}

	/** Offset of the next record to be appended. */
	get next(): number {
		return this.first + this.retained.length;
	}

	/** Appends records at contiguous offsets with time `now`. Returns the offset of the first. */
	append(records: readonly string[], now: number): number {
		const first = this.next;
		for (const [i, data] of records.entries()) {
			this.retained.push({offset: first + i, data, at: now});
		}

		this.expire(now);
		return first;
	}

	/** Returns at most `limit` records from offset `from` on. */
	read(from: number, limit: number): StoredRecord[] {
		const start = Math.max(from - this.first, 0);
		const found = this.retained.slice(start, start + limit);
		return found.map(({offset, data}) => ({offset, data}));
	}

	/** Drops the records whose retention has ended at `now`. */
	expire(now: number): void {
		const {maxAgeMs, maxRecords} = this.retention;
		const excess = maxRecords > 0 ? this.retained.length - maxRecords : 0;
		const firstFresh = this.retained.findIndex(record => now - record.at <= maxAgeMs);
		const expired = firstFresh === -1 ? this.retained.length : firstFresh;
		const dropped = Math.max(excess, maxAgeMs > 0 ? expired : 0);
		if (dropped > 0) {
			this.retained.splice(0, dropped);
			this.first += dropped;
		}
	}
}
