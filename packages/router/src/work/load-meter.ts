/** Maximum number of keys that one meter counts at the same time. */
const maxKeys = 256;

/** Counts since the previous reading. */
export type MeterReading = {
	/** Requests by shard. */
	readonly shards: ReadonlyMap<number, number>;
	/** Lower bounds of requests by key; every key with more than `1 / (maxKeys + 1)` of the requests is included. */
	readonly keys: ReadonlyMap<string, number>;
};

/** Counts the requests of one target by shard, and finds frequent keys in bounded memory with the Misra-Gries algorithm. */
export class LoadMeter {
	private shards = new Map<number, number>();
	private keys = new Map<string, number>();

	/** Counts a request for `key` on `shard`. */
	count(shard: number, key: string): void {
		this.shards.set(shard, (this.shards.get(shard) ?? 0) + 1);
		const known = this.keys.get(key);
		if (known !== undefined || this.keys.size < maxKeys) {
			this.keys.set(key, (known ?? 0) + 1);
			return;
		}

		this.decrementKeys();
	}

	/** Returns the counts and resets them. */
	readAndReset(): MeterReading {
		const reading = {shards: this.shards, keys: this.keys};
		this.shards = new Map();
		this.keys = new Map();
		return reading;
	}

	private decrementKeys(): void {
		for (const [key, count] of this.keys) {
			if (count === 1) {
				this.keys.delete(key);
			} else {
				this.keys.set(key, count - 1);
			}
		}
	}
}
