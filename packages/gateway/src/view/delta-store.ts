/** Changes of a store since a sequence number. */
export type Delta = {
	/** Whether it replaces everything. */
	readonly isFull: boolean;
	/** Sequence number after it. */
	readonly seq: number;
	readonly set: ReadonlyArray<readonly [key: string, value: unknown]>;
	readonly gone: readonly string[];
};

/** Removed keys that are remembered for replicas that lag. */
const maxTombstones = 4096;

/** Keys and values with the sequence of their changes, so that replicas get only what they lack. */
export class DeltaStore {
	private seq = 0;
	private floor = 0;
	private readonly rows = new Map<string, {readonly value: unknown; readonly text: string; readonly seq: number}>();
	private readonly tombstones = new Map<string, number>();
	/** Sequence number of the last change by the first part of the key. */
	private readonly partSeqs = new Map<string, number>();

	/** Sequence number of the last change. */
	get lastSeq(): number {
		return this.seq;
	}

	/** Sequence number of the last change of a key that begins with `part/`, or is `part`; 0 before the first one. */
	lastSeqOfPart(part: string): number {
		return this.partSeqs.get(part) ?? 0;
	}

	/** The value of a key. */
	get<T>(key: string): T | undefined {
		return this.rows.get(key)?.value as T | undefined;
	}

	/** Keys that begin with a prefix, with their values. */
	* withPrefix<T>(prefix: string): Generator<readonly [key: string, value: T]> {
		for (const [key, row] of this.rows) {
			if (key.startsWith(prefix)) {
				yield [key, row.value as T];
			}
		}
	}

	/** Sets a value; false when it is the same as before. */
	set(key: string, value: unknown): boolean {
		const text = JSON.stringify(value);
		if (this.rows.get(key)?.text === text) {
			return false;
		}

		this.advance(key);
		this.tombstones.delete(key);
		this.rows.set(key, {value, text, seq: this.seq});
		return true;
	}

	/** Removes a key; false when it is not there. */
	remove(key: string): boolean {
		if (!this.rows.delete(key)) {
			return false;
		}

		this.advance(key);
		this.tombstones.delete(key);
		this.tombstones.set(key, this.seq);
		this.trim();
		return true;
	}

	/** Changes after a sequence number; everything when that is too long ago. */
	deltaSince(seq: number): Delta {
		const isFull = seq < this.floor || seq > this.seq;
		const after = isFull ? 0 : seq;
		return {
			isFull,
			seq: this.seq,
			set: [...this.rows].filter(([, row]) => row.seq > after).map(([key, row]) => [key, row.value] as const),
			gone: isFull ? [] : [...this.tombstones].filter(([, removedAt]) => removedAt > after).map(([key]) => key),
		};
	}

	/** Takes a delta in. */
	apply(delta: Delta): void {
		if (delta.isFull) {
			const kept = new Set(delta.set.map(([key]) => key));
			for (const key of this.rows.keys()) {
				if (!kept.has(key)) {
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

	private advance(key: string): void {
		this.seq += 1;
		const slash = key.indexOf('/');
		this.partSeqs.set(slash === -1 ? key : key.slice(0, slash), this.seq);
	}

	private trim(): void {
		const [oldest] = this.tombstones;
		if (this.tombstones.size > maxTombstones) {
			this.floor = oldest[1];
			this.tombstones.delete(oldest[0]);
		}
	}
}
