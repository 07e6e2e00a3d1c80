import type {RequestRecord__Output} from '../peer/generated/bluebellyard/RequestRecord.js';

/** Ids kept for one other instance, at most. */
const maxPerInstance = 100_000;

type Kept = {
	readonly record: RequestRecord__Output;
	readonly at: number;
};

/** Request ids that this instance keeps on behalf of others, for a window of time. */
export class RequestBackups {
	private readonly rows = new Map<string, Map<string, Kept>>();

	private readonly windowMs: number;
	private isClosed = false;
	private readonly now: () => number;

	/** `windowMs` is the time for which an id is kept. */
	constructor(windowMs: number, now: () => number) {
		this.windowMs = windowMs;
		this.now = now;
	}

	/** Keeps an id for an instance; false when there is no room. */
	add(instance: string, record: RequestRecord__Output): boolean {
		const rows = this.rows.get(instance) ?? new Map<string, Kept>();
		this.rows.set(instance, rows);
		this.forget(rows);
		if (this.isClosed || rows.size >= maxPerInstance) {
			return false;
		}

		// The later attempt of an id stands.
		rows.delete(record.id);
		rows.set(record.id, {record, at: this.now() - record.ageMs});
		return true;
	}

	/** Keeps nothing more; gives all that is kept, by instance. */
	closeAndExport(): Map<string, RequestRecord__Output[]> {
		this.isClosed = true;
		const now = this.now();
		return new Map([...this.rows].map(([instance, rows]) => {
			this.forget(rows);
			return [instance, [...rows.values()].map(({record, at}) => ({...record, ageMs: now - at}))];
		}));
	}

	/** Drops the id of an attempt that did not run; a later attempt with the same id stays. */
	remove(instance: string, id: string, attempt: string): void {
		const rows = this.rows.get(instance);
		if (rows?.get(id)?.record.attempt === attempt) {
			rows.delete(id);
		}
	}

	/** Ids kept for an instance and a shard. */
	findByShard(instance: string, shard: string): RequestRecord__Output[] {
		const rows = this.rows.get(instance) ?? new Map<string, Kept>();
		this.forget(rows);
		const now = this.now();
		return [...rows.values()]
			.filter(({record}) => record.shard === shard)
			.map(({record, at}) => ({...record, ageMs: now - at}));
	}

	/** Drops what is older than the window; the oldest come first. */
	private forget(rows: Map<string, Kept>): void {
		const oldest = this.now() - this.windowMs;
		for (const [id, {at}] of rows) {
			if (at > oldest) {
				return;
			}

			rows.delete(id);
		}
	}
}
