import {
	emptyTables, createShard, InstanceState, Member, parseRules, TargetState, type InstanceRow, type Tables, type TargetRow, type Timing,
} from '@bluebellyard/core';

export const testTiming: Timing = {
	heartbeatMs: 100, suspectMs: 300, rightMs: 300, isolationMs: 15_000, leaseMs: 500, drift: 0.01,
};

/** Returns the row of a member instance; its name serves as id and as all of its addresses. */
export function makeInstanceRow(name: string, domain: string, changes: Partial<InstanceRow> = {}): InstanceRow {
	return {
		id: name, name, domain, peerAddr: name, internalAddr: name, controlAddr: name, joined: 1, state: InstanceState.Member, eviction: 0, idsHandedOver: false, idsHolder: '', copiesHolder: '', ...changes,
	};
}

/** Returns the row of a live target of pool `p`. */
export function makeTargetRow(name: string, steward: string, changes: Partial<TargetRow> = {}): TargetRow {
	return {
		name, pool: 'p', domain: 'a', addr: name, state: TargetState.Live, steward, tenure: 2, prevSteward: '', ...changes,
	};
}

/** Returns tables with the given instances, targets and, by shard of pool `p`, owners. */
export function makeTables(instances: readonly InstanceRow[], targets: readonly TargetRow[], owners: readonly string[], rules = ''): Tables {
	const tables = emptyTables();
	for (const row of instances) {
		tables.instances.set(row.id, row);
	}

	for (const row of targets) {
		tables.targets.set(row.name, row);
	}

	const shards = owners.map((owner, shard) => ({...createShard(shard), owner, fence: 3}));
	tables.pools.set('p', {
		name: 'p', hashed: shards.length, shards, hot: new Map(),
	});
	if (rules !== '') {
		tables.config = {offset: 7, text: rules, rules: parseRules(rules).rules!};
	}

	return tables;
}

/** Returns the member `self` of failure domain `a` with the given tables. */
export function makeMember(tables: Tables): Member {
	const self = {
		id: 'self', name: 'self', domain: 'a', peerAddr: 'self', internalAddr: 'self', controlAddr: 'self',
	};
	return new Member({
		self, timing: testTiming, random: () => 0.5, tables,
	});
}
