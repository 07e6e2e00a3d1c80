import test from 'ava';
import {leaseExpiry} from '@bluebellyard/core';
import {FormerLeaders, leaderGraceMs} from './former-leaders.js';
import {LastContacts, sendAfterContactMs} from './last-contacts.js';

const timing = {leaseMs: 6000, transitMs: 500};
const start = {now: 1000, hadLeader: true};

test('without a former leader there is nothing to wait for', t => {
	t.is(new FormerLeaders([], timing, {now: 1000, hadLeader: false}).leaseEnd, Number.NEGATIVE_INFINITY);
});

test('a former process of the same instance sends no more grants', t => {
	t.is(new FormerLeaders([], timing, start).leaseEnd, leaseExpiry(1000, timing));
});

test('a former leader sends no grants once it follows', t => {
	const formers = new FormerLeaders(['a'], timing, start);
	t.is(formers.leaseEnd, leaseExpiry(1000 + leaderGraceMs, timing));
	formers.markFollowing('a', 1200);
	t.is(formers.leaseEnd, leaseExpiry(1200, timing));
	formers.markFollowing('a', 5000);
	t.is(formers.leaseEnd, leaseExpiry(1200, timing));
});

// The wait for a leader that was removed for good started anew with each later leader.
test('a leader of two terms ago is not waited for longer than the last leader did', t => {
	const knownEnds = new Map([['a', -3000], ['b', 40_000]]);
	const formers = new FormerLeaders(['a', 'b', 'c'], timing, {...start, knownEnds});
	t.deepEqual([...formers.sendEnds], [['a', -3000], ['b', 1000 + leaderGraceMs], ['c', 1000 + leaderGraceMs]]);
	formers.markFollowing('b', 1200);
	formers.markFollowing('c', 1200);
	t.is(formers.leaseEnd, leaseExpiry(1200, timing));
});

test('a leader of two terms ago may still send grants', t => {
	const formers = new FormerLeaders(['a', 'b'], timing, start);
	formers.markFollowing('b', 1200);
	t.is(formers.leaseEnd, leaseExpiry(1000 + leaderGraceMs, timing));
});

// Keys stayed closed for 18.7 s after a leader was lost for good.
test('the contacts of the last leader bound its grants, not those of earlier ones, and are not passed on', t => {
	const lastContacts = new LastContacts({leader: 'b', answeredAt: -500, absent: []});
	const formers = new FormerLeaders(['a', 'b'], timing, {...start, knownEnds: new Map([['a', -9000]]), lastContacts});
	t.is(formers.confirmedLeaseEnd, leaseExpiry(1000 + leaderGraceMs, timing));
	lastContacts.setInstances([]);
	t.is(formers.confirmedLeaseEnd, leaseExpiry(-500 + sendAfterContactMs, timing));
	t.is(formers.leaseEnd, leaseExpiry(1000 + leaderGraceMs, timing));
	t.is(formers.sendEnds.get('b'), 1000 + leaderGraceMs);
	const both = new FormerLeaders(['a', 'b'], timing, {...start, lastContacts});
	t.is(both.confirmedLeaseEnd, leaseExpiry(1000 + leaderGraceMs, timing));
});
