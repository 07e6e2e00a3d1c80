import {hashText} from './key-hash.js';
import type {PoolRow} from './tables.js';

/** Returns the shard number of a key: its own shard for a hot key, otherwise by hash. */
export function findShard(pool: PoolRow, key: string): number {
	if (pool.hot.size > 0) {
		const own = pool.hot.get(key);
		if (own !== undefined) {
			return own;
		}
	}

	return hashText(key) % pool.hashed;
}
