import test from 'ava';
import {leaseExpiry} from '@bluebellyard/core';
import {AppendFault, LeaderHarness} from '../mocks/index.js';
import {hasLostRecords, OwnerLog} from './owner-log.js';

const topic = 'keyed.bluebellyard-owners';

/** Time after which a leader without other instances has waited for all lost grants, in milliseconds. */
const recoveryMs = leaseExpiry(0, {leaseMs: 6000, transitMs: 500}) + 1000;

async function setUp(): Promise<LeaderHarness> {
	const harness = new LeaderHarness();
	await harness.log.append(topic, 'keys/former', '{"era":0,"term":1,"ranges":[[0,65535,"x@1",1,[]]]}');
	await harness.start();
	return harness;
}

test('the leader that stays renews its grants and moves no key until lost grants have expired', async t => {
	const harness = await setUp();
	const [owner] = harness.control.ownersOfKey(5);
	harness.log.returnWithout(topic, 1);
	harness.moveKeys(owner);
	await harness.run(recoveryMs - 1500);
	t.deepEqual(harness.control.ownersOfKey(5), [owner]);
	await harness.run(2500);
	t.is(harness.control.ownersOfKey(5).length, 1);
	t.notDeepEqual(harness.control.ownersOfKey(5), [owner]);
});

test('owners of a service that is not configured do not make each election a recovery', async t => {
	const harness = await setUp();
	harness.log.returnWithout(topic, 0);
	await harness.run(recoveryMs);
	const state = await new OwnerLog(harness.log).read();
	t.true(state.owners.has('former'));
	t.false(hasLostRecords(state));
});

test('a leader that can read but not claim the lead has no contact with the store', async t => {
	const harness = await setUp();
	t.true(harness.leader!.storeAgeMs < 1000);
	harness.log.returnWithout(topic, 0);
	harness.log.faults.push(...Array.from({length: 100}, () => AppendFault.Refused));
	await harness.run(3000);
	t.true(harness.leader!.storeAgeMs > 2000);
});

test('instances that join do not prolong the wait for lost grants', async t => {
	const harness = await setUp();
	harness.log.returnWithout(topic, 0);
	await harness.run(300);
	for (let i = 0; i < 10; i += 1) {
		harness.leader?.addNode({
			name: `new-${i}`, incarnation: '1', domain: 'x', addr: `new-${i}:1`, cores: 1,
		});
		// eslint-disable-next-line no-await-in-loop
		await harness.run(2000);
	}

	t.false(harness.leader!.isRecovering);
});
