import type {RequestRecord__Output} from '../peer/generated/bluebellyard/RequestRecord.js';

/** Maximum number of ids stored for one other instance. */
const maxPerInstance = 100_000;

type StoredId = {
	readonly record: RequestRecord__Output;
	/** Monotonic time of the last change, in milliseconds. */
	readonly changedAt: number;
};

/** Request ids that this instance stores as a backup for other instances, for a limited time. */
export class RequestBackups {
	private readonly rowsByInstance = new Map<string, Map<string, StoredId>>();

	private readonly windowMs: number;
	private isClosed = false;
	private readonly now: () => number;

	/** `windowMs` is the time for which an id is stored, in milliseconds. */
	constructor(windowMs: number, now: () => number) {
		this.windowMs = windowMs;
		this.now = now;
	}

	/** Stores an id for an instance; returns false when its limit is reached or the table is closed. */
	add(instance: string, record: RequestRecord__Output): boolean {
		const rows = this.rowsByInstance.get(instance) ?? new Map<string, StoredId>();
		this.rowsByInstance.set(instance, rows);
		this.evictExpired(rows);
		if (this.isClosed || rows.size >= maxPerInstance) {
			return false;
		}

		// A later attempt with the same id replaces the earlier one and moves to the end of the insertion order.
		rows.delete(record.id);
		rows.set(record.id, {record, changedAt: this.now() - record.ageMs});
		return true;
	}

	/** Stores no further ids; returns all stored ones by instance. */
	closeAndExport(): Map<string, RequestRecord__Output[]> {
		this.isClosed = true;
		const now = this.now();
		return new Map([...this.rowsByInstance].map(([instance, rows]) => {
			this.evictExpired(rows);
			return [instance, [...rows.values()].map(({record, changedAt}) => ({...record, ageMs: now - changedAt}))];
		}));
	}

	/** Removes the id of an attempt that did not run; a later attempt with the same id stays. */
	remove(instance: string, id: string, attempt: string): void {
		const rows = this.rowsByInstance.get(instance);
		if (rows?.get(id)?.record.attempt === attempt) {
			rows.delete(id);
		}
	}

	/** Returns the ids stored for an instance and a shard. */
	findByShard(instance: string, shard: string): RequestRecord__Output[] {
		const rows = this.rowsByInstance.get(instance) ?? new Map<string, StoredId>();
		this.evictExpired(rows);
		const now = this.now();
		return [...rows.values()]
			.filter(({record}) => record.shard === shard)
			.map(({record, changedAt}) => ({...record, ageMs: now - changedAt}));
	}

	/** Removes ids older than the window; rows are ordered by age, oldest first. */
	private evictExpired(rows: Map<string, StoredId>): void {
		const oldest = this.now() - this.windowMs;
		for (const [id, {changedAt}] of rows) {
			if (changedAt > oldest) {
				return;
			}

			rows.delete(id);
		}
	}
}
