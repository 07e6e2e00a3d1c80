/** Keys that one meter follows at the same time. */
const maxKeys = 256;

/** Counts of one period. */
export type MeterReading = {
	/** Requests by shard. */
	readonly shards: ReadonlyMap<number, number>;
	/** Lower bounds of requests by key; frequent keys are surely among them. */
	readonly keys: ReadonlyMap<string, number>;
};

/** Counts the requests of one target by shard, and finds frequent keys in bounded memory (Misra and Gries). */
export class LoadMeter {
	private shards = new Map<number, number>();
	private keys = new Map<string, number>();

	/** Counts a request. */
	count(shard: number, key: string): void {
		this.shards.set(shard, (this.shards.get(shard) ?? 0) + 1);
		const known = this.keys.get(key);
		if (known !== undefined || this.keys.size < maxKeys) {
			this.keys.set(key, (known ?? 0) + 1);
			return;
		}

		this.decrementAll();
	}

	/** Gives the counts and starts anew. */
	readAndReset(): MeterReading {
		const reading = {shards: this.shards, keys: this.keys};
		this.shards = new Map();
		this.keys = new Map();
		return reading;
	}

	private decrementAll(): void {
		for (const [key, count] of this.keys) {
			if (count === 1) {
				this.keys.delete(key);
			} else {
				this.keys.set(key, count - 1);
			}
		}
	}
}
