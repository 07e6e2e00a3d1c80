import test from 'ava';
import {digestKey, TeamKeys} from '@bluebellyard/core';
import {createConfig} from '../mocks/index.js';
import {DeltaStore} from './delta-store.js';
import {TeamTable, teamRows} from './team-table.js';
import {View} from './view.js';

const teams = {teams: [{name: 'a', burst: 0}, {name: 'b', priority: 0, burst: 3}], teamKeys: TeamKeys.of([['d1', 'a'], ['d2', 'a'], ['d3', 'b']])};

/** Returns a replica with the rows of a view. */
function replicate(view: View): View {
	const replica = new View();
	replica.apply(view.store.deltaSince(-1));
	return replica;
}

// A replica would reject all callers, or accept those of another configuration.
test('teams and keys are part of the configuration and replicated with it', t => {
	const view = new View();
	view.setConfig(createConfig(1, teams));
	for (const {hasTeams, findTeam} of [view, replicate(view)].map(each => ({hasTeams: each.hasTeams, findTeam: each.findTeam.bind(each)}))) {
		t.true(hasTeams);
		t.deepEqual(findTeam('d2'), {name: 'a', burst: 0});
		t.deepEqual(findTeam('d3'), {name: 'b', priority: 0, burst: 3});
		t.is(findTeam('d4'), undefined);
	}
});

// A revoked key would go on being accepted.
test('a new version replaces keys and teams, also at a replica', t => {
	const view = new View();
	view.setConfig(createConfig(1, teams));
	const replica = replicate(view);
	const {lastSeq} = view.store;
	view.setConfig(createConfig(2, {teams: [{name: 'a', burst: 0}], teamKeys: TeamKeys.of([['d2', 'a']])}));
	replica.apply(view.store.deltaSince(lastSeq));
	for (const each of [view, replica]) {
		t.deepEqual(['d1', 'd2', 'd3'].map(digest => each.findTeam(digest)?.name), [undefined, 'a', undefined]);
		t.deepEqual(each.teams.map(({name}) => name), ['a']);
	}

	view.setConfig(createConfig(3));
	t.false(view.hasTeams);
	t.is(view.findTeam('d2'), undefined);
});

// Keys of a leader's older configuration would come back beside a newer one.
test('an older configuration of a leader does not bring a revoked key back', t => {
	const leader = new View();
	leader.setConfig(createConfig(1, teams));
	const view = new View();
	view.setConfig(createConfig(2, {teams: [{name: 'a', burst: 0}], teamKeys: TeamKeys.of([['d2', 'a']])}));
	view.apply(leader.store.deltaSince(-1));
	t.is(view.configVersion, 2);
	t.is(view.findTeam('d1'), undefined);
	t.is(view.findTeam('d2')?.name, 'a');
	t.deepEqual(view.teams.map(({name}) => name), ['a']);
});

// Rows of teams would change the messages of a deployment without teams.
test('without teams the view has no rows of them', t => {
	const view = new View();
	view.setConfig(createConfig(1));
	view.setConfig(createConfig(2, {teams: [], teamKeys: TeamKeys.of([])}));
	t.deepEqual(view.store.deltaSince(-1).set.map(([key]) => key), ['route/r', 'route/p', 'config']);
});

/** Store that counts the rows that are read. */
class CountingStore extends DeltaStore {
	reads = 0;

	override get<T>(key: string): T | undefined {
		this.reads += 1;
		return super.get<T>(key);
	}

	override * withPrefix<T>(prefix: string): Generator<readonly [key: string, value: T]> {
		for (const row of super.withPrefix<T>(prefix)) {
			this.reads += 1;
			yield row;
		}
	}
}

// A search through all keys would cost each request more than the request itself.
test('a look-up reads two rows of 100,000 keys', t => {
	const store = new CountingStore();
	const teamKeys = TeamKeys.of(Array.from({length: 100_000}, (_, i) => [digestKey(String(i)), `team-${i % 88}`]));
	for (const [key, value] of teamRows({teams: Array.from({length: 88}, (_, i) => ({name: `team-${i}`, burst: 0})), teamKeys})) {
		store.set(key, value);
	}

	const table = new TeamTable(store);
	t.is(table.find(digestKey('99999'))?.name, 'team-31');
	t.is(store.reads, 2);
	t.true([...teamKeys.groups.values()].every(group => group.length < 3000), 'a search goes through more than 3000 characters');
	t.is(table.find(digestKey('none')), undefined);
	t.is(store.reads, 3);
	t.is(table.teams.length, 88);
	t.is(store.reads, 3 + 88);
	t.is(table.teams.length, 88);
	t.is(store.reads, 3 + 88);
});

// Each message of the leader would go through all keys, or list its rows in another order than before.
test('a delta lists rows in the order in which their keys were added, whatever their part', t => {
	const store = new DeltaStore();
	for (const key of ['a/1', 'b', 'a/2', 'c/1', 'b/1']) {
		store.set(key, 1);
	}

	const {lastSeq} = store;
	for (const key of ['c/1', 'a/2', 'b']) {
		store.set(key, 2);
	}

	t.deepEqual(store.deltaSince(-1).set.map(([key]) => key), ['a/1', 'b', 'a/2', 'c/1', 'b/1']);
	t.deepEqual(store.deltaSince(lastSeq).set.map(([key]) => key), ['b', 'a/2', 'c/1']);
	store.remove('a/1');
	store.set('a/1', 3);
	t.deepEqual(store.deltaSince(-1).set.map(([key]) => key), ['b', 'a/2', 'c/1', 'b/1', 'a/1']);
});

// A change of one key would send all keys to all instances, or a replica would keep a revoked one.
test('a change of a few among many keys changes a few rows', t => {
	const keys = Array.from({length: 20_000}, (_, i) => [digestKey(String(i)), `team-${i % 3}`] as const);
	const list = [0, 1, 2].map(i => ({name: `team-${i}`, burst: 0}));
	const view = new View();
	view.setConfig(createConfig(1, {teams: list, teamKeys: TeamKeys.of(keys)}));
	const replica = replicate(view);
	const {lastSeq} = view.store;
	const added = [digestKey('new'), 'team-1'] as const;
	view.setConfig(createConfig(2, {teams: list, teamKeys: TeamKeys.of([added, ...keys.slice(2).toReversed()])}));
	const delta = view.store.deltaSince(lastSeq);
	t.true(delta.set.length + delta.gone.length <= 4, `${delta.set.length} rows set, ${delta.gone.length} removed`);
	replica.apply(delta);
	t.deepEqual([keys[0], keys[1], keys[2], added].map(([digest]) => replica.findTeam(digest)?.name), [undefined, undefined, 'team-2', 'team-1']);
});
