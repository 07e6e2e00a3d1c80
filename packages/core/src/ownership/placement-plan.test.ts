import test from 'ava';
import fc from 'fast-check';
import {TargetState} from '../records/index.js';
import {createShard, type PoolRow, type TargetRow} from '../state/index.js';
import {isCooled, planPool} from './placement-plan.js';

const target = (name: string): TargetRow => ({
	name, pool: 'p', domain: 'd', addr: '', state: TargetState.Live, steward: 's', tenure: 1, prevSteward: '',
});

const targets = (count: number) => Array.from({length: count}, (_, i) => target(`t${i}`));

function makePool(owners: readonly string[], loads: readonly number[] = []): PoolRow {
	const shards = owners.map((owner, i) => ({...createShard(i), owner, load: loads[i] ?? 0}));
	return {
		name: 'p', hashed: owners.length, shards, hot: new Map(),
	};
}

/** Applies a plan to the pool; returns the number of shards that moved. */
function applyOwners(pool: PoolRow, owners: readonly string[]): number {
	let moves = 0;
	for (const [i, shard] of pool.shards.entries()) {
		moves += shard.owner === owners[i] ? 0 : 1;
		shard.owner = owners[i]!;
	}

	return moves;
}

/** Applies plans until they are stable; returns the number of moves. */
function planUntilStable(pool: PoolRow, count: number): number {
	let moves = 0;
	for (let round = 0; round < 20; round += 1) {
		moves += applyOwners(pool, planPool(pool, targets(count)));
	}

	return moves;
}

/** Returns the load of the heaviest target over the mean load. */
function imbalance(pool: PoolRow, count: number): number {
	const sums = targets(count).map(({name}) =>
		pool.shards.filter(shard => shard.owner === name).reduce((sum, shard) => sum + shard.load, 0));
	return Math.max(...sums) / (sums.reduce((a, b) => a + b, 0) / count);
}

test('unowned shards are spread evenly', t => {
	const pool = makePool(Array.from({length: 256}, () => ''));
	planUntilStable(pool, 20);
	const counts = targets(20).map(({name}) => pool.shards.filter(shard => shard.owner === name).length);
	t.true(Math.max(...counts) <= 14);
	t.true(Math.min(...counts) >= 11);
});

test('a stable plan moves nothing', t => {
	const pool = makePool(Array.from({length: 256}, () => ''));
	planUntilStable(pool, 20);
	t.is(planUntilStable(pool, 20), 0);
});

test('removing a target moves only its shards', t => {
	const pool = makePool(Array.from({length: 256}, () => ''));
	planUntilStable(pool, 20);
	const orphans = pool.shards.filter(shard => shard.owner === 't19').length;
	t.is(planUntilStable(pool, 19), orphans);
});

test('a new target receives no more than its share', t => {
	const pool = makePool(Array.from({length: 256}, () => ''));
	planUntilStable(pool, 19);
	const moves = planUntilStable(pool, 20);
	t.true(moves <= Math.ceil((256 / 20) * 1.1));
	t.true(moves >= 10);
});

test('skewed loads are balanced', t => {
	const loads = Array.from({length: 256}, (_, i) => Math.round(1000 / ((i + 1) ** 0.6)));
	const pool = makePool(Array.from({length: 256}, () => ''), loads);
	planUntilStable(pool, 20);
	t.true(imbalance(pool, 20) <= 1.25);
});

test('without targets nothing changes', t => {
	const pool = makePool(['a', 'b', '']);
	t.deepEqual(planPool(pool, []), ['a', 'b', '']);
});

test('a cooled key moves to the owner of its hashed shard', t => {
	const pool = makePool(['t0', 't1'], [50, 50]);
	pool.shards.push({...createShard(0), owner: 't1', load: 1});
	pool.hot.set('k', 2);
	t.true(isCooled(pool, 2));
	t.is(planPool(pool, targets(2))[2], 't0');
});

test('a hot key keeps its own shard', t => {
	const pool = makePool(['t0', 't1'], [50, 50]);
	pool.shards.push({...createShard(0), owner: 't1', load: 500});
	t.false(isCooled(pool, 2));
});

test('every shard in use is assigned to a target for any loads', t => {
	const loads = fc.array(fc.nat(1000), {minLength: 1, maxLength: 60});
	t.notThrows(() => {
		fc.assert(fc.property(loads, fc.integer({min: 1, max: 8}), fc.nat(9), (rates, count, former) => {
			const pool = makePool(rates.map((_, i) => i % 3 === 0 ? '' : `t${(i * former) % 10}`), rates);
			const names = new Set(targets(count).map(({name}) => name));
			return planPool(pool, targets(count)).every(owner => names.has(owner));
		}), {seed: 1});
	});
});
