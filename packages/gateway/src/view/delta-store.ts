/** Changes to a store after a sequence number. */
export type Delta = {
	/** Whether `set` is the whole content, which replaces what a replica has. */
	readonly isFull: boolean;
	/** Sequence number of the store after these changes. */
	readonly seq: number;
	readonly set: ReadonlyArray<readonly [key: string, value: unknown]>;
	/** Keys that were removed. */
	readonly gone: readonly string[];
};

/** Number of removed keys that are kept so that lagging replicas can catch up without a full copy. */
const maxTombstones = 4096;

type Row = {
	readonly value: unknown;
	/** The value by which changes are found: strings as they are, since those of many keys would be costly to copy, others as JSON. */
	readonly text: string;
	readonly seq: number;
	/** Order in which keys were added; deltas list their rows in this order. */
	readonly place: number;
};

/** Rows that share the first path segment of their keys. */
type Part = {
	/** Sequence number of the last change. */
	seq: number;
	readonly rows: Map<string, Row>;
};

/** Returns the first path segment of a key. */
function partOf(key: string): string {
	const slash = key.indexOf('/');
	return slash === -1 ? key : key.slice(0, slash);
}

/** Key-value store that numbers its changes, so that replicas receive only the changes that they lack. */
export class DeltaStore {
	private seq = 0;
	/** Oldest sequence number from which a delta can be built. */
	private oldestBase = 0;
	private nextPlace = 0;
	private readonly rows = new Map<string, Row>();
	/** The same rows by the first path segment of the key, so that a part with many rows does not slow down reads of the others. */
	private readonly parts = new Map<string, Part>();
	private readonly tombstones = new Map<string, number>();

	/** Sequence number of the last change. */
	get lastSeq(): number {
		return this.seq;
	}

	/** Returns the sequence number of the last change to the key `part` or to a key under `part/`; 0 if there was none. */
	lastSeqOfPart(part: string): number {
		return this.parts.get(part)?.seq ?? 0;
	}

	/** Returns the value of a key. */
	get<T>(key: string): T | undefined {
		return this.rows.get(key)?.value as T | undefined;
	}

	/** Yields the keys that begin with a prefix, with their values. */
	* withPrefix<T>(prefix: string): Generator<readonly [key: string, value: T]> {
		const rows = prefix.includes('/') ? this.parts.get(partOf(prefix))?.rows ?? [] : this.rows;
		for (const [key, row] of rows) {
			if (key.startsWith(prefix)) {
				yield [key, row.value as T];
			}
		}
	}

	/** Sets a value. Returns false if it equals the present one. */
	set(key: string, value: unknown): boolean {
		const text = typeof value === 'string' ? value : JSON.stringify(value);
		const previous = this.rows.get(key);
		if (previous?.text === text && typeof previous.value === typeof value) {
			return false;
		}

		const part = this.changePart(key);
		const row = {
			value, text, seq: this.seq, place: previous?.place ?? this.nextPlace++,
		};
		this.tombstones.delete(key);
		this.rows.set(key, row);
		part.rows.set(key, row);
		return true;
	}

	/** Removes a key. Returns false if it does not exist. */
	remove(key: string): boolean {
		if (!this.rows.delete(key)) {
			return false;
		}

		this.changePart(key).rows.delete(key);
		this.recordRemoval(key);
		return true;
	}

	/** Numbers rows as changed although their values stay, so that the next delta has them; keys without a row count as removed. */
	touch(keys: Iterable<string>): void {
		for (const key of new Set(keys)) {
			const row = this.rows.get(key);
			const part = this.changePart(key);
			if (row === undefined) {
				this.recordRemoval(key);
			} else {
				const touched = {...row, seq: this.seq};
				this.rows.set(key, touched);
				part.rows.set(key, touched);
			}
		}
	}

	/** Returns the changes after a sequence number, or the whole content if the removals since then are no longer known. */
	deltaSince(seq: number): Delta {
		const isFull = seq < this.oldestBase || seq > this.seq;
		const after = isFull ? 0 : seq;
		const changed = [...this.parts.values()]
			.filter(part => part.seq > after)
			.flatMap(part => [...part.rows].filter(([, row]) => row.seq > after))
			.toSorted(([, a], [, b]) => a.place - b.place);
		return {
			isFull,
			seq: this.seq,
			set: changed.map(([key, row]) => [key, row.value] as const),
			gone: isFull ? [] : [...this.tombstones].filter(([, removedAt]) => removedAt > after).map(([key]) => key),
		};
	}

	/** Applies a delta. */
	apply(delta: Delta): void {
		if (delta.isFull) {
			const keys = new Set(delta.set.map(([key]) => key));
			for (const key of this.rows.keys()) {
				if (!keys.has(key)) {
					this.remove(key);
				}
			}
		}

		for (const key of delta.gone) {
			this.remove(key);
		}

		for (const [key, value] of delta.set) {
			this.set(key, value);
		}
	}

	/** Numbers a change of a key and returns its part. */
	private changePart(key: string): Part {
		this.seq += 1;
		const name = partOf(key);
		const part: Part = this.parts.get(name) ?? {seq: 0, rows: new Map()};
		part.seq = this.seq;
		this.parts.set(name, part);
		return part;
	}

	private recordRemoval(key: string): void {
		this.tombstones.delete(key);
		this.tombstones.set(key, this.seq);
		const [oldest] = this.tombstones;
		if (this.tombstones.size > maxTombstones) {
			this.oldestBase = oldest[1];
			this.tombstones.delete(oldest[0]);
		}
	}
}
