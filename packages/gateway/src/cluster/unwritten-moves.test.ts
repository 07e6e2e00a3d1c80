/**
 * Moves whose record could not be written, or may not have been. The owner of a key that is about to move gets no grant
 * of it while the record is written. When the store became unavailable at that moment, this excluded the whole range of
 * the key from renewals until the store was written to again, so that the lease of all its keys expired.
 */
import test, {type ExecutionContext} from 'ava';
import type {KeyRates} from '@bluebellyard/core';
import {AppendFault, harnessTiming as timing, OwnershipHarness as Harness} from '../mocks/index.js';

/** A key that moves, and one of the same range that stays. */
const busyKey = 5;
const otherKey = 1000;

/** Load by which the busy key moves away from its owner. */
const busyRates: KeyRates = [[busyKey, 2], [busyKey + 1, 2]];

/** Returns a leader that has planned to move a busy key when the store failed. */
async function startMove(fault: AppendFault): Promise<Harness> {
	const harness = new Harness();
	await harness.run(2000);
	harness.store.faults.push(fault);
	harness.store.hold('list');
	harness.rates = busyRates;
	for (let i = 0; i < 50 && harness.store.faults.length > 0; i += 1) {
		// eslint-disable-next-line no-await-in-loop
		await harness.run(100);
	}

	harness.mayMove = false;
	return harness;
}

/** Runs for longer than a lease; asserts that one target holds each of the keys all the time. */
async function assertHeld(t: ExecutionContext, harness: Harness, keys: readonly number[]): Promise<void> {
	await harness.run(2 * timing.leaseMs, ({control}) => {
		t.deepEqual(keys.filter(key => control.ownersOfKey(key).length !== 1), []);
	});
}

test('a move that the store rejects leaves all keys with their owners', async t => {
	const harness = await startMove(AppendFault.Refused);
	t.is(harness.store.faults.length, 0);
	await assertHeld(t, harness, [busyKey, otherKey, 40_000]);
});

test('a move with an unknown outcome leaves the other keys of the range with their owner', async t => {
	const harness = await startMove(AppendFault.AnswerLost);
	const [owner] = harness.control.ownersOfKey(otherKey);
	await assertHeld(t, harness, [otherKey, 40_000]);
	t.deepEqual(harness.control.ownersOfKey(otherKey), [owner]);
});

// The record may be carried out later and states that its former owner has answered all grants.
test('the owner of a key whose move has an unknown outcome gets no grant of it', async t => {
	const harness = await startMove(AppendFault.AnswerLost);
	await harness.run(2 * timing.leaseMs);
	t.deepEqual(harness.control.ownersOfKey(busyKey), []);
});

test('a key whose move was lost in a return of the store stays with its owner', async t => {
	const harness = await startMove(AppendFault.AnswerLost);
	harness.manager.suspend(true);
	await assertHeld(t, harness, [busyKey, otherKey, 40_000]);
});

test('a rejected write does not end the exclusion while an earlier one may still be carried out', async t => {
	const harness = new Harness();
	await harness.run(2000);
	harness.store.faults.push(AppendFault.Unanswered, AppendFault.Refused);
	harness.store.hold('append');
	harness.rates = busyRates;
	await harness.run(3 * timing.leaseMs);
	t.is(harness.store.faults.length, 0);
	t.deepEqual(harness.control.ownersOfKey(busyKey), []);
});
