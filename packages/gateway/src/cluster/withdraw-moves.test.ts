/**
 * A leader that reaches no target hands over with its moves withdrawn or ended. Guards against keys that stay closed
 * until the grants of the former leader have expired, and against two holders after a withdrawal.
 */
import test from 'ava';
import {allKeys, OwnershipMap, type KeyRates} from '@bluebellyard/core';
import {
	AppendFault, ControlFault, createHolderCheck, OwnershipHarness as Harness,
} from '../mocks/index.js';

/** A load that moves keys away from the owner of the first half. */
const load: KeyRates = Array.from({length: 100}, (_, i) => [i, 0.05] as const);

/** Returns a harness whose owners no longer answer, immediately before it plans moves. */
async function cutOff(): Promise<Harness> {
	const harness = new Harness();
	await harness.run(2500);
	harness.control.faults.set('a', ControlFault.Lost);
	harness.control.faults.set('b', ControlFault.Lost);
	return harness;
}

/** Reads the owners as a successor finds them. */
async function readOwners(harness: Harness): Promise<OwnershipMap> {
	const state = await harness.log.read();
	return state.owners.get('s')!.map;
}

function findFormers(map: OwnershipMap): unknown[] {
	return map.ranges.flatMap(({formers}) => formers);
}

test('a move that was written and not released is withdrawn', async t => {
	const harness = await cutOff();
	const before = harness.control.ownersOfKey(5);
	harness.rates = load;
	await harness.run(600);
	t.not(findFormers(await readOwners(harness)).length, 0);
	harness.mayMove = false;
	t.false(harness.manager.settleMoves());
	await harness.run(100);
	t.true(harness.manager.settleMoves());
	const map = await readOwners(harness);
	t.deepEqual(findFormers(map), []);
	t.true(load.every(([key]) => map.findByKey(key).owner === before[0]));
});

test('keys of a move that is being withdrawn are not granted to the new owner, whatever comes of the write', async t => {
	for (const fault of [undefined, AppendFault.Refused, AppendFault.AnswerLost]) {
		// eslint-disable-next-line no-await-in-loop
		const harness = await cutOff();
		const [holder] = harness.control.ownersOfKey(5);
		harness.rates = load;
		// eslint-disable-next-line no-await-in-loop
		await harness.run(600);
		harness.mayMove = false;
		if (fault !== undefined) {
			harness.store.faults.push(fault);
		}

		harness.manager.settleMoves();
		harness.control.faults.clear();
		harness.control.requests.length = 0;
		// eslint-disable-next-line no-await-in-loop
		await harness.run(8000, createHolderCheck(t));
		const other = holder === 'a' ? 'b' : 'a';
		t.deepEqual(harness.control.requests.filter(request => request.startsWith(`grant ${other} 0-`)), [], `fault ${fault}`);
		harness.mayMove = true;
		// eslint-disable-next-line no-await-in-loop
		await harness.run(8000, createHolderCheck(t));
		t.not(harness.openOwner(5), '', `fault ${fault}`);
	}
});

test('a move whose keys were granted is not withdrawn', async t => {
	const harness = new Harness();
	await harness.run(2500);
	harness.control.faults.set('b', ControlFault.AnswerLost);
	harness.control.faults.set('a', ControlFault.AnswerLost);
	harness.rates = load;
	await harness.run(600);
	harness.control.faults.clear();
	await harness.run(8000, createHolderCheck(t));
	const owners = load.map(([key]) => harness.control.ownersOfKey(key));
	harness.mayMove = false;
	harness.manager.settleMoves();
	await harness.run(500, createHolderCheck(t));
	const map = await readOwners(harness);
	t.deepEqual(load.map(([key]) => [map.findByKey(key).owner]), owners);
});

test('an inherited move is not withdrawn, as the former leader may have granted its keys', async t => {
	const map = OwnershipMap.empty().assign([{...allKeys, owner: 'a'}], 1).assign([{...allKeys, owner: 'b'}], 2);
	const harness = new Harness({map, isInherited: true, inheritedLeaseEnd: 120_000});
	harness.mayMove = false;
	harness.manager.renewAllFences();
	await harness.run(300);
	t.true(harness.manager.settleMoves());
	const {ranges: [range]} = await readOwners(harness);
	t.is(range.owner, 'b');
	t.deepEqual(range.formers.map(({owner}) => owner), ['a']);
});

test('a move that has ended is written before the lead is handed over', async t => {
	const harness = new Harness();
	await harness.run(2500);
	harness.rates = load;
	// The release is answered at once; its record would be written 400 ms later.
	for (let i = 0; i < 10 && !harness.control.requests.some(request => request.startsWith('release')); i += 1) {
		// eslint-disable-next-line no-await-in-loop
		await harness.run(100);
	}

	await harness.run(100);
	t.not(findFormers(await readOwners(harness)).length, 0);
	t.is(new Set(load.map(([key]) => harness.openOwner(key))).size, 2);
	harness.mayMove = false;
	t.false(harness.manager.settleMoves());
	await harness.run(100);
	t.true(harness.manager.settleMoves());
	t.deepEqual(findFormers(await readOwners(harness)), []);
});

test('keys of an owner that the leader has not granted anything yet stay while grants of former leaders count', async t => {
	const map = OwnershipMap.empty().assign([{...allKeys, owner: 'a'}], 1);
	const harness = new Harness({map, isInherited: true, inheritedLeaseEnd: 108_000});
	harness.control.faults.set('a', ControlFault.Lost);
	harness.rates = load;
	harness.manager.renewAllFences();
	await harness.run(5000, () => {
		t.is(harness.openOwner(5), 'a');
	});
	harness.control.faults.clear();
	await harness.run(10_000, createHolderCheck(t));
	t.is(new Set(load.map(([key]) => harness.openOwner(key))).size, 2);
});
