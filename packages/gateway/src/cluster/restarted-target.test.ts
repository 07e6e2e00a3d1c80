/**
 * A target that restarts under its name and address remembers no fencing token. It accepts every grant of the
 * former owner's range that still arrives, so the range must not go to another owner before such a grant can
 * no longer count.
 */
import test from 'ava';
import {allKeys, leaseExpiry, OwnershipMap} from '@bluebellyard/core';
import {
	createHolderCheck, harnessTiming as timing, OwnershipHarness, type OwnershipHarnessOptions,
} from '../mocks/index.js';
import {OwnerProcess} from './owner-process.js';

const key = 5;
const formerFence = 0;

/** A new leader whose map gives all keys to `a@1`; the former leader may grant until `inheritedLeaseEnd`. */
async function startAfterFormerLeader(options: OwnershipHarnessOptions = {}): Promise<OwnershipHarness> {
	const map = OwnershipMap.empty().assign([{...allKeys, owner: 'a@1'}], formerFence);
	const harness = new OwnershipHarness({
		map, isInherited: true, inheritedLeaseEnd: 110_000, ...options,
	});
	// The record of the former leader, so that the tokens of the new one are higher.
	await harness.store.append('keyed.bluebellyard-owners', 'keys/s', '[[0,65535,"a@1",0,[]]]');
	harness.log.adopt(await harness.log.read());
	return harness;
}

/** The former leader sends its last grant; its lease expires before `inheritedLeaseEnd`. */
async function grantAsFormerLeader({control}: OwnershipHarness): Promise<void> {
	await control.grant({name: 'a', addr: 'a'}, {...allKeys, fence: formerFence, leaseMs: timing.leaseMs});
}

/** Replaces the process of the target `a`; the leader has read the record of the later incarnation. */
function restart(harness: OwnershipHarness): void {
	harness.control.restart('a');
	harness.processes.set('a@1', OwnerProcess.Restarted);
	harness.owners = [{id: 'b', capacity: 4}];
}

/** Delays a renewal to `a@1`, to which all keys are granted. */
async function delayRenewal(): Promise<OwnershipHarness> {
	const harness = new OwnershipHarness();
	harness.owners = [{id: 'a@1', capacity: 4}];
	await harness.run(1500);
	harness.control.delayedTargets.add('a');
	while (!harness.control.hasDelayed) {
		// eslint-disable-next-line no-await-in-loop
		await harness.run(100);
	}

	return harness;
}

test('a restarted owner that a former leader may grant to keeps its range closed', async t => {
	const harness = await startAfterFormerLeader();
	restart(harness);
	await harness.run(1000);
	await grantAsFormerLeader(harness);
	await harness.run(8000, createHolderCheck(t));
	t.deepEqual(harness.control.ownersOfKey(key), []);
	await harness.run(2000, createHolderCheck(t));
	t.is(harness.openOwner(key), 'b');
});

// The token of this leader voids the grants of former leaders only in the process that accepted it.
test('a restarted owner has forgotten the token of the present leader', async t => {
	const harness = await startAfterFormerLeader();
	harness.owners = [{id: 'a@1', capacity: 4}];
	harness.manager.renewAllFences();
	await harness.run(500);
	t.deepEqual(harness.control.ownersOfKey(key), ['a']);
	restart(harness);
	await harness.run(500);
	await grantAsFormerLeader(harness);
	await harness.run(8000, createHolderCheck(t));
	t.deepEqual(harness.control.ownersOfKey(key), []);
	await harness.run(2000, createHolderCheck(t));
	t.is(harness.openOwner(key), 'b');
});

test('a range that a former leader moved waits for its grants also if the former owner restarted', async t => {
	const map = OwnershipMap.empty().assign([{...allKeys, owner: 'a@1'}], formerFence).assign([{...allKeys, owner: 'b'}], 1);
	const harness = await startAfterFormerLeader({map});
	restart(harness);
	await harness.run(500);
	await grantAsFormerLeader(harness);
	await harness.run(8500, createHolderCheck(t));
	t.deepEqual(harness.control.ownersOfKey(key), []);
	await harness.run(2000, createHolderCheck(t));
	t.is(harness.openOwner(key), 'b');
});

test('a range of a restarted owner moves at once when the former leaders are found to have ended', async t => {
	const harness = await startAfterFormerLeader();
	restart(harness);
	await harness.run(500);
	t.is(harness.openOwner(key), '');
	harness.inheritedLeaseEnd = harness.clock.now();
	await harness.run(500, createHolderCheck(t));
	t.is(harness.openOwner(key), 'b');
});

test('a restarted owner may carry out a grant that is in flight', async t => {
	const harness = await delayRenewal();
	const sentAt = harness.clock.now();
	restart(harness);
	await harness.run(500);
	harness.control.carryOut(harness.control.failDelayed());
	await harness.run(5000, createHolderCheck(t));
	t.is(harness.openOwner(key), '');
	await harness.run(leaseExpiry(sentAt, timing) + 1000 - harness.clock.now(), createHolderCheck(t));
	t.is(harness.openOwner(key), 'b');
});

test('a restarted owner may carry out a grant that was not answered before', async t => {
	const harness = await delayRenewal();
	const sentAt = harness.clock.now();
	const delayed = harness.control.failDelayed();
	await harness.run(100);
	restart(harness);
	await harness.run(500);
	harness.control.carryOut(delayed);
	await harness.run(5000, createHolderCheck(t));
	t.is(harness.openOwner(key), '');
	await harness.run(leaseExpiry(sentAt, timing) + 1000 - harness.clock.now(), createHolderCheck(t));
	t.is(harness.openOwner(key), 'b');
});

// The release was answered by the process that has ended since; the grant reaches the one that has no memory of either.
test('an owner that restarts after its release may carry out an unanswered grant', async t => {
	const harness = await delayRenewal();
	const sentAt = harness.clock.now();
	const delayed = harness.control.failDelayed();
	harness.owners = [{id: 'b', capacity: 4}];
	await harness.run(500);
	restart(harness);
	harness.control.carryOut(delayed);
	await harness.run(5000, createHolderCheck(t));
	t.is(harness.openOwner(key), '');
	await harness.run(leaseExpiry(sentAt, timing) + 1000 - harness.clock.now(), createHolderCheck(t));
	t.is(harness.openOwner(key), 'b');
});

test('an ended owner is granted nothing more', async t => {
	const harness = new OwnershipHarness();
	harness.owners = [{id: 'a@1', capacity: 4}];
	await harness.run(1500);
	harness.control.requests.length = 0;
	harness.mayMove = false;
	restart(harness);
	await harness.run(10_000);
	t.deepEqual(harness.control.requests.filter(request => request.startsWith('grant a')), []);
});

// The later incarnation answered the renewal, so the last answered grant is not one to the process that ended.
test('a restarted owner that accepted a renewal before its restart is known holds its range', async t => {
	const harness = new OwnershipHarness();
	harness.owners = [{id: 'a@1', capacity: 4}];
	await harness.run(1500);
	harness.control.restart('a');
	while (harness.control.ownersOfKey(key).length === 0) {
		// eslint-disable-next-line no-await-in-loop
		await harness.run(100);
	}

	harness.processes.set('a@1', OwnerProcess.Restarted);
	harness.owners = [{id: 'b', capacity: 4}];
	await harness.run(8000, createHolderCheck(t));
	t.is(harness.openOwner(key), 'b');
});

test('a range moved off an owner that restarts later waits until no former leader grants', async t => {
	const harness = await startAfterFormerLeader();
	harness.owners = [{id: 'a@1', capacity: 4}];
	harness.manager.renewAllFences();
	await harness.run(500);
	harness.owners = [{id: 'b', capacity: 4}];
	await harness.run(1000);
	harness.control.restart('a');
	await grantAsFormerLeader(harness);
	await harness.run(8000, createHolderCheck(t));
	t.is(harness.openOwner(key), 'b');
});
