import test from 'ava';
import {leaseExpiry} from '@bluebellyard/core';
import {FormerLeaders, leaderGraceMs} from './former-leaders.js';

const timing = {leaseMs: 6000, transitMs: 500};
const start = {now: 1000, hadLeader: true};

test('nobody led before', t => {
	t.is(new FormerLeaders([], timing, {now: 1000, hadLeader: false}).leaseEnd, Number.NEGATIVE_INFINITY);
});

test('a former process of the same instance grants nothing more', t => {
	t.is(new FormerLeaders([], timing, start).leaseEnd, leaseExpiry(1000, timing));
});

test('a leader that follows grants nothing from then on', t => {
	const formers = new FormerLeaders(['a'], timing, start);
	t.is(formers.leaseEnd, leaseExpiry(1000 + leaderGraceMs, timing));
	formers.markFollowing('a', 1200);
	t.is(formers.leaseEnd, leaseExpiry(1200, timing));
	formers.markFollowing('a', 5000);
	t.is(formers.leaseEnd, leaseExpiry(1200, timing));
});

test('a leader two terms ago may still grant', t => {
	const formers = new FormerLeaders(['a', 'b'], timing, start);
	formers.markFollowing('b', 1200);
	t.is(formers.leaseEnd, leaseExpiry(1000 + leaderGraceMs, timing));
});
