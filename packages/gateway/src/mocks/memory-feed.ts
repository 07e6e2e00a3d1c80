import {Feed, type FeedChange} from '../ports/index.js';

/** Feed whose changes are written by the test. */
export class MemoryFeed<T> extends Feed<T> {
	isDown = false;
	era = 0;
	restarts = 0;
	/** Number of answers with all entries. */
	listings = 0;
	private readonly rows = new Map<string, T>();
	private changed = new Map<string, T>();
	private gone: string[] = [];
	private isFull = true;

	/** Adds or replaces an entry. */
	put(key: string, value: T): void {
		this.rows.set(key, value);
		this.changed.set(key, value);
	}

	remove(key: string): void {
		this.rows.delete(key);
		this.changed.delete(key);
		this.gone.push(key);
	}

	/** Replaces all entries by those of an older copy of the store, and starts the next era. */
	returnFromCopy(rows: ReadonlyMap<string, T>): void {
		this.era += 1;
		this.rows.clear();
		this.changed = new Map();
		this.gone = [];
		for (const [key, value] of rows) {
			this.rows.set(key, value);
		}

		this.isFull = true;
	}

	override restart(): void {
		this.restarts += 1;
		this.isFull = true;
	}

	/** The copy has the entries that this feed has now. */
	override fork(): MemoryFeed<T> {
		const copy = new MemoryFeed<T>();
		for (const [key, value] of this.rows) {
			copy.put(key, value);
		}

		return copy;
	}

	override async next(waitMs: number): Promise<FeedChange<T>> {
		await new Promise(resolve => {
			setTimeout(resolve, Math.min(waitMs, 5));
		});
		if (this.isDown) {
			throw new Error('the store is unreachable');
		}

		const change = this.isFull
			? {
				era: this.era, isFull: true, set: new Map(this.rows), gone: [],
			}
			: {
				era: this.era, isFull: false, set: this.changed, gone: this.gone,
			};
		this.listings += this.isFull ? 1 : 0;
		this.isFull = false;
		this.changed = new Map();
		this.gone = [];
		return change;
	}
}
