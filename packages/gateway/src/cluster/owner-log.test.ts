import test from 'ava';
import {allKeys, OwnershipMap} from '@bluebellyard/core';
import {MemoryLog} from '../mocks/index.js';
import {StaleAppendError, UnknownAppendError} from '../ports/index.js';
import type {LeaderRecord} from './leader-record.js';
import {hasLostRecords, OwnerLog} from './owner-log.js';

const topic = 'keyed.bluebellyard-owners';

function leaderRecord(era: number, isRecovering = false): LeaderRecord {
	return {
		era, term: 1, name: 'e0', incarnation: 'e0-1', formers: [], isRecovering,
	};
}

function assignAll(fence: number): OwnershipMap {
	return OwnershipMap.empty().assign([{...allKeys, owner: 'a'}], fence);
}

/** A store in era 1 in which a leader of era 1 has written the owners of a service. */
async function setUp(): Promise<{store: MemoryLog; log: OwnerLog}> {
	const store = new MemoryLog();
	store.era = 1;
	const log = new OwnerLog(store);
	await log.claimLead(leaderRecord(1), await log.read());
	await log.write('s', {era: 1, term: 1}, assignAll);
	return {store, log};
}

test('an equal end after a return of the store is a change', async t => {
	const {store, log} = await setUp();
	t.true(await log.isUnchanged());
	store.returnWithout(topic, 1);
	await store.append(topic, 'other', '1');
	t.false(await log.isUnchanged());
});

test('a write that meets a return of the store has an unknown outcome', async t => {
	const {store, log} = await setUp();
	store.returnWithout(topic, 1);
	await store.append(topic, 'other', '1');
	await t.throwsAsync(log.write('s', {era: 1, term: 1}, assignAll), {instanceOf: UnknownAppendError});
});

test('a write that was decided before a return of the store is rejected', async t => {
	const {store, log} = await setUp();
	store.returnWithout(topic, 1);
	log.adopt(await log.read());
	await t.throwsAsync(log.write('s', {era: 1, term: 1}, assignAll), {instanceOf: StaleAppendError});
	t.like(await store.end(topic), {end: 1});
});

test('a write of a superseded leader that waits behind its reading of the store is rejected', async t => {
	const {store, log} = await setUp();
	await store.append(topic, 'leader', JSON.stringify({...leaderRecord(1), term: 2, name: 'e1'}));
	const reading = log.read();
	const writing = log.write('s', {era: 1, term: 1}, assignAll);
	await t.throwsAsync(writing, {instanceOf: StaleAppendError});
	t.like(await reading, {leader: {name: 'e1'}});
});

test('tokens rise over a return of the store', async t => {
	const {store, log} = await setUp();
	const before = await log.write('s', {era: 1, term: 1}, assignAll);
	store.returnWithout(topic, 2);
	await log.claimLead(leaderRecord(2), await log.read());
	const after = await log.write('s', {era: 2, term: 1}, assignAll);
	t.true(after.ranges[0].fence > before.ranges[0].fence);
});

test('records that are older than the era do not show all grants', async t => {
	const {store, log} = await setUp();
	t.false(hasLostRecords(await log.read()));
	store.returnWithout(topic, 0);
	t.true(hasLostRecords(await log.read()));
	await log.claimLead(leaderRecord(2), await log.read());
	t.true(hasLostRecords(await log.read()), 'the owners are of the era before');
	await log.write('s', {era: 2, term: 1}, assignAll);
	t.false(hasLostRecords(await log.read()));
});

test('a leader that still waits for lost grants says so to its successors', async t => {
	const {store, log} = await setUp();
	store.returnWithout(topic, 2);
	t.true(hasLostRecords(await log.read()), 'without any record');
	await log.claimLead(leaderRecord(2, true), await log.read());
	t.true(hasLostRecords(await log.read()));
	await log.updateLeader(leaderRecord(2));
	t.false(hasLostRecords(await log.read()));
});

test('records of versions that did not know the era are read', async t => {
	const store = new MemoryLog();
	await store.append(topic, 'leader', '{"term":3,"name":"e0","incarnation":"e0-1"}');
	await store.append(topic, 'keys/s', '[[0,65535,"a",3,[["b",1]]]]');
	const state = await new OwnerLog(store).read();
	t.like(state.leader, {
		era: 0, term: 3, formers: [], isRecovering: false,
	});
	t.like(state.owners.get('s')?.map.ranges[0], {owner: 'a', fence: 3, formers: [{owner: 'b', fence: 1}]});
	t.false(hasLostRecords(state));
});
