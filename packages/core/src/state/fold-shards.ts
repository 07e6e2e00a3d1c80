import {
	TargetState, type IsolateRecord, type LoadsRecord, type MergeRecord, type Move, type MovesRecord,
} from '../records/index.js';
import {isMember} from './fold-instances.js';
import {isCurrentSteward} from './fold-targets.js';
import {findShard} from './find-shard.js';
import {createShard, type Tables} from './tables.js';
import {
	accepted, rejected, RejectReason, type Verdict,
} from './verdict.js';

/** Maximum number of hot keys with their own shard in one pool. */
export const maxHotKeys = 1024;

/** Applies new owners of shards; the record takes effect as a whole or not at all. */
export function foldMoves(tables: Tables, offset: number, record: MovesRecord): Verdict {
	if (!isMember(tables, record.by)) {
		return rejected(RejectReason.WriterNotMember);
	}

	const {lost} = record;
	if (lost !== undefined) {
		const row = tables.targets.get(lost.target);
		if (row === undefined || !isCurrentSteward(row, record.by, lost.tenure)) {
			return rejected(RejectReason.StaleTenure, lost.target);
		}
	}

	for (const move of record.moves) {
		const reason = checkMove(tables, record, move);
		if (reason !== undefined) {
			return rejected(reason, `${move.pool}/${move.shard}`);
		}
	}

	for (const move of record.moves) {
		applyMove(tables, offset, move);
	}

	if (lost !== undefined) {
		applyLost(tables, offset, lost.target);
	}

	return accepted;
}

/** Gives a hot key its own shard with the same owner. */
export function foldIsolate(tables: Tables, offset: number, record: IsolateRecord): Verdict {
	const pool = tables.pools.get(record.pool);
	if (pool === undefined) {
		return rejected(RejectReason.UnknownPool);
	}

	if (pool.hot.has(record.key) || pool.hot.size >= maxHotKeys) {
		return rejected(RejectReason.HotKeyKnown);
	}

	const shard = pool.shards[findShard(pool, record.key)];
	if (shard.fence !== record.prev) {
		return rejected(RejectReason.StaleOwnership);
	}

	if (tables.targets.get(shard.owner)?.steward !== record.by) {
		return rejected(RejectReason.NotOwnersSteward);
	}

	const free = pool.shards.findIndex(row => row.base < 0);
	const own = free === -1 ? pool.shards.length : free;
	pool.hot.set(record.key, own);
	pool.shards[own] = {
		owner: shard.owner, fence: offset, prevSteward: record.by, load: 0, base: shard.base,
	};
	return accepted;
}

/** Merges the shard of a key into the shard that the key hashes to. */
export function foldMerge(tables: Tables, offset: number, record: MergeRecord): Verdict {
	const pool = tables.pools.get(record.pool);
	const shard = pool?.shards[pool.hot.get(record.key) ?? -1];
	if (pool === undefined || shard === undefined) {
		return rejected(RejectReason.UnknownPool);
	}

	if (shard.fence !== record.prev) {
		return rejected(RejectReason.StaleOwnership);
	}

	const isSameOwner = shard.owner !== '' && pool.shards[shard.base].owner === shard.owner;
	if (!isSameOwner || tables.targets.get(shard.owner)?.steward !== record.by) {
		return rejected(RejectReason.NotOwnersSteward);
	}

	pool.shards[pool.hot.get(record.key)!] = {...createShard(-1), fence: offset};
	pool.hot.delete(record.key);
	return accepted;
}

/** Applies measured loads of the shards whose steward wrote the record. */
export function foldLoads(tables: Tables, record: LoadsRecord): Verdict {
	for (const {pool, loads} of record.pools) {
		for (const [number, load] of loads) {
			const shard = tables.pools.get(pool)?.shards[number];
			if (shard !== undefined && tables.targets.get(shard.owner)?.steward === record.by) {
				shard.load = load;
			}
		}
	}

	return accepted;
}

function checkMove(tables: Tables, record: MovesRecord, move: Move): RejectReason | undefined {
	const shard = tables.pools.get(move.pool)?.shards[move.shard];
	if (shard === undefined || shard.base < 0) {
		return RejectReason.UnknownPool;
	}

	if (shard.fence !== move.prev) {
		return RejectReason.StaleOwnership;
	}

	const to = tables.targets.get(move.to);
	const isLostTarget = record.lost?.target === move.to;
	if (to === undefined || isLostTarget || to.state !== TargetState.Live || to.tenure === 0 || to.pool !== move.pool) {
		return RejectReason.UnknownTarget;
	}

	if (shard.owner === '') {
		return undefined;
	}

	const owner = tables.targets.get(shard.owner);
	const isMovedBySteward = owner !== undefined && isCurrentSteward(owner, record.by, move.tenure);
	return isMovedBySteward ? undefined : RejectReason.NotOwnersSteward;
}

function applyMove(tables: Tables, offset: number, move: Move): void {
	const shard = tables.pools.get(move.pool)!.shards[move.shard];
	const owner = tables.targets.get(shard.owner);
	shard.prevSteward = owner?.steward ?? shard.prevSteward;
	shard.owner = move.to;
	shard.fence = offset;
}

/** Marks a target as lost and starts a new tenure, so that a late duplicate of the record has no effect. */
function applyLost(tables: Tables, offset: number, name: string): void {
	const target = tables.targets.get(name)!;
	target.state = TargetState.Lost;
	target.tenure = offset;
	target.prevSteward = target.steward;
	for (const shard of tables.pools.get(target.pool)?.shards ?? []) {
		if (shard.owner === name) {
			shard.owner = '';
			shard.fence = offset;
			shard.prevSteward = target.steward;
		}
	}
}
