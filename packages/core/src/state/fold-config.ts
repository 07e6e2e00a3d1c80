import type {ConfigRecord} from '../records/index.js';
import {
	checkRules, formatProblem, parseRules, PoolKind, type Rules,
} from '../rules/index.js';
import {createShard, type PoolRow, type Tables} from './tables.js';
import {
	accepted, rejected, RejectReason, type Verdict,
} from './verdict.js';

/** Applies a published rules file if the configuration in force is still the one that its writer saw. */
export function foldConfig(tables: Tables, offset: number, record: ConfigRecord): Verdict {
	if (record.base !== tables.config.offset) {
		return rejected(RejectReason.StaleConfig, `in force: ${tables.config.offset}`);
	}

	const {rules, problems} = parseRules(record.text);
	if (rules === undefined) {
		return rejected(RejectReason.BadRules, problems.map(problem => formatProblem(problem)).join('; '));
	}

	const emptied = checkRules(rules, [...tables.targets.values()]);
	if (emptied.length > 0) {
		return rejected(RejectReason.EmptiesPool, emptied.map(problem => formatProblem(problem)).join('; '));
	}

	if (changesShardCount(tables, rules)) {
		return rejected(RejectReason.ShardCountChanged);
	}

	addPools(tables, rules);
	tables.config = {offset, text: record.text, rules};
	return accepted;
}

function changesShardCount(tables: Tables, rules: Rules): boolean {
	for (const pool of rules.pools.values()) {
		const row = tables.pools.get(pool.name);
		if (row !== undefined && row.hashed !== pool.shards) {
			return true;
		}
	}

	return false;
}

function addPools(tables: Tables, rules: Rules): void {
	for (const pool of rules.pools.values()) {
		if (pool.kind === PoolKind.Keyed && !tables.pools.has(pool.name)) {
			tables.pools.set(pool.name, emptyPool(pool.name, pool.shards));
		}
	}
}

function emptyPool(name: string, shards: number): PoolRow {
	return {
		name,
		hashed: shards,
		shards: Array.from({length: shards}, (_, shard) => createShard(shard)),
		hot: new Map(),
	};
}
