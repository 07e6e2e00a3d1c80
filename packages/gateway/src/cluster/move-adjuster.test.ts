import test from 'ava';
import {allKeys, OwnershipMap} from '@bluebellyard/core';
import {createGrantState, type GrantState} from './grant.js';
import {MoveAdjuster} from './move-adjuster.js';

const timing = {leaseMs: 6000, transitMs: 500};
const map = OwnershipMap.empty().assign([{...allKeys, owner: 'a'}], 1);
const move = {from: 0, to: 999, owner: 'b'};
const renewal = {...move, owner: 'a'};

function adjust(grant: Partial<GrantState>, {inheritedLeaseEnd = 0, inheritedArrivalEnd = 0, ids = ['a', 'b']} = {}): unknown[] {
	return new MoveAdjuster(timing).adjust([move], {
		now: 10_000,
		inheritedLeaseEnd,
		inheritedArrivalEnd,
		ranges: map.ranges,
		usableIds: new Set(ids),
		findGrant: () => ({...createGrantState(true), isFenced: true, ...grant}),
		formerPendingSince: () => Number.NEGATIVE_INFINITY,
	});
}

// Keys that moved for their load while a grant to their owner could still count were closed for up to a lease.
test('a range moves for its load only when a release suffices', t => {
	t.deepEqual(adjust({}), [move]);
	t.deepEqual(adjust({unansweredSentAt: 9000}), [renewal]);
	t.deepEqual(adjust({unansweredSentAt: 3000}), [move]);
	t.deepEqual(adjust({formerUnansweredSentAt: 9000}), []);
	t.deepEqual(adjust({isFenced: false}, {inheritedLeaseEnd: 11_000}), []);
	t.deepEqual(adjust({isFenced: false}), [move]);
});

// A release does not count while a grant of a lost leader may arrive: keys that the next leader moved for their load had no owner for over 5 s.
test('a range stays with its owner while grants of a former leader may arrive', t => {
	t.deepEqual(adjust({}, {inheritedLeaseEnd: 18_000, inheritedArrivalEnd: 11_000}), []);
	t.deepEqual(adjust({acceptedSentAt: 10_000}, {inheritedLeaseEnd: 18_000, inheritedArrivalEnd: 10_000}), [move]);
	// The owner may have restarted since it accepted a grant.
	t.deepEqual(adjust({acceptedSentAt: 9000}, {inheritedLeaseEnd: 18_000, inheritedArrivalEnd: 10_000}), []);
	t.deepEqual(adjust({unansweredSentAt: 9000}, {inheritedArrivalEnd: 11_000}), [renewal]);
	t.deepEqual(adjust({}, {inheritedArrivalEnd: 11_000, ids: ['b']}), [move]);
});

test('a range without a usable owner moves whatever grants may count', t => {
	t.deepEqual(adjust({unansweredSentAt: 9000, isFenced: false}, {inheritedLeaseEnd: 11_000, ids: ['b']}), [move]);
});
