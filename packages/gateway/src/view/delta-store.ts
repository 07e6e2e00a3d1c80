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

/** Key-value store that numbers its changes, so that replicas receive only the changes that they lack. */
export class DeltaStore {
	private seq = 0;
	/** Oldest sequence number from which a delta can be built. */
	private oldestBase = 0;
	private readonly rows = new Map<string, {readonly value: unknown; readonly text: string; readonly seq: number}>();
	private readonly tombstones = new Map<string, number>();
	/** Sequence number of the last change, by the first path segment of the key. */
	private readonly partSeqs = new Map<string, number>();

	/** Sequence number of the last change. */
	get lastSeq(): number {
		return this.seq;
	}

	/** Returns the sequence number of the last change to the key `part` or to a key under `part/`; 0 if there was none. */
	lastSeqOfPart(part: string): number {
		return this.partSeqs.get(part) ?? 0;
	}

	/** Returns the value of a key. */
	get<T>(key: string): T | undefined {
		return this.rows.get(key)?.value as T | undefined;
	}

	/** Yields the keys that begin with a prefix, with their values. */
	* withPrefix<T>(prefix: string): Generator<readonly [key: string, value: T]> {
		for (const [key, row] of this.rows) {
			if (key.startsWith(prefix)) {
				yield [key, row.value as T];
			}
		}
	}

	/** Sets a value. Returns false if it equals the present one. */
	set(key: string, value: unknown): boolean {
		const text = JSON.stringify(value);
		if (this.rows.get(key)?.text === text) {
			return false;
		}

		this.incrementSeq(key);
		this.tombstones.delete(key);
		this.rows.set(key, {value, text, seq: this.seq});
		return true;
	}

	/** Removes a key. Returns false if it does not exist. */
	remove(key: string): boolean {
		if (!this.rows.delete(key)) {
			return false;
		}

		this.incrementSeq(key);
		this.tombstones.delete(key);
		this.tombstones.set(key, this.seq);
		this.trimTombstones();
		return true;
	}

	/** Returns the changes after a sequence number, or the whole content if the removals since then are no longer known. */
	deltaSince(seq: number): Delta {
		const isFull = seq < this.oldestBase || seq > this.seq;
		const after = isFull ? 0 : seq;
		return {
			isFull,
			seq: this.seq,
			set: [...this.rows].filter(([, row]) => row.seq > after).map(([key, row]) => [key, row.value] as const),
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

	private incrementSeq(key: string): void {
		this.seq += 1;
		const slash = key.indexOf('/');
		this.partSeqs.set(slash === -1 ? key : key.slice(0, slash), this.seq);
	}

	private trimTombstones(): void {
		const [oldest] = this.tombstones;
		if (this.tombstones.size > maxTombstones) {
			this.oldestBase = oldest[1];
			this.tombstones.delete(oldest[0]);
		}
	}
}
