import test from 'ava';
import {ManualClock} from '@bluebellyard/core';
import {FollowedLeader} from './followed-leader.js';
import type {Ping} from './messages.js';

const leader = {
	name: 'e1', domain: 'x', incarnation: 'e1-1', addr: 'e1:1', cores: 1,
};

function ping(changes: Partial<Ping> = {}): Ping {
	return {
		era: 0, term: 2, leader, storeAgeMs: 100, targetsAgeMs: 300, formerEndsMs: {e0: 4000, e9: -20_000}, base: undefined, seq: 1, ...changes,
	};
}

test('durations in a ping count from its arrival', t => {
	const clock = new ManualClock(5000);
	const followed = new FollowedLeader(clock);
	t.true(followed.recordPing(ping()));
	t.is(followed.targetsReadAt, 4700);
	t.deepEqual(followed.formerSendEnds, new Map([['e0', 9000], ['e9', -15_000]]));
	clock.advance(600);
	t.false(followed.recordPing(ping()));
	t.is(followed.since, 5000);
	clock.advance(400);
	t.true(followed.recordPing(ping({term: 3})));
	t.is(followed.since, 6000);
});

test('what the former leader told does not count for one that is not heard yet', t => {
	const clock = new ManualClock(5000);
	const followed = new FollowedLeader(clock);
	followed.recordPing(ping());
	clock.advance(1000);
	followed.recordElected({era: 0, term: 3});
	t.is(followed.formerSendEnds.size, 0);
	t.is(followed.lastPingAt, 6000);
});

// The next leader bounds the grants of the former one by these times.
test('an answer states the time since the last answer to an earlier leader, or the start', t => {
	const clock = new ManualClock(5000);
	const followed = new FollowedLeader(clock);
	clock.advance(100);
	t.is(followed.describeAnswer(false).formerAgeMs, 100);
	t.is(followed.describeAnswer(false).stamp, undefined);
	followed.recordPing(ping());
	clock.advance(600);
	followed.recordPing(ping());
	clock.advance(1000);
	followed.recordElected({era: 0, term: 3});
	clock.advance(500);
	followed.recordPing(ping({term: 3}));
	t.deepEqual(followed.describeAnswer(true), {stamp: 7200, formerAgeMs: 1500});
	clock.advance(30_000);
	t.is(followed.describeAnswer(true).formerAgeMs, undefined);
});

// The former leader may be of an earlier version, may have been alone, or may not be the one that was followed.
test('only the recorded leader that was followed, with a proof, has known contacts', t => {
	const clock = new ManualClock(5000);
	const followed = new FollowedLeader(clock);
	const record = {
		era: 0, term: 2, name: 'e1', incarnation: 'e1-1', formers: [], isRecovering: false,
	};
	followed.recordPing(ping());
	const {stamp} = followed.describeAnswer(true);
	t.is(followed.findLastContacts(record), undefined);
	followed.recordPing(ping({contact: {ageMs: 0, echo: stamp!}}));
	t.is(followed.findLastContacts(record)?.leader, 'e1');
	t.is(followed.findLastContacts({...record, term: 3}), undefined);
	t.is(followed.findLastContacts({...record, incarnation: 'e1-2'}), undefined);
	t.is(followed.findLastContacts({...record, isRecovering: true}), undefined);
	t.is(followed.findLastContacts(undefined), undefined);
	followed.recordPing(ping({term: 3}));
	t.is(followed.findLastContacts({...record, term: 3}), undefined);
});

// An election reads the store while it names the leader of term 6; a ping of term 7 is answered before that read is.
// If the leadership falls back, this process answers the leader of term 6 again, after the time that it stated to that of term 7.
test('a late answer of the store does not end the following of a newer leader', t => {
	const clock = new ManualClock(5000);
	const followed = new FollowedLeader(clock);
	followed.recordPing(ping({term: 7}));
	clock.advance(200);
	followed.recordElected({era: 0, term: 6});
	t.deepEqual(followed.leadership, {era: 0, term: 7});
});

// Statements of a leader say nothing of the one after it, which may be alone.
test('a proof of one leader does not count for the next one', t => {
	const clock = new ManualClock(5000);
	const followed = new FollowedLeader(clock);
	followed.recordPing(ping());
	const {stamp} = followed.describeAnswer(true);
	followed.recordPing(ping({contact: {ageMs: 0, echo: stamp!}}));
	const next = {...leader, name: 'e2', incarnation: 'e2-1'};
	followed.recordPing(ping({term: 3, leader: next}));
	t.is(followed.findLastContacts({
		era: 0, term: 3, name: 'e2', incarnation: 'e2-1', formers: [], isRecovering: false,
	}), undefined);
});

// Answers must have no fields that an earlier version does not send, and statements of others must have no effect.
test('without the bound an answer tells nothing, and statements of the leader are not recorded', t => {
	const clock = new ManualClock(5000);
	const followed = new FollowedLeader(clock, false);
	followed.recordPing(ping());
	t.deepEqual(followed.describeAnswer(true), {});
	followed.recordPing(ping({contact: {ageMs: 0, echo: 5000}}));
	t.is(followed.findLastContacts({
		era: 0, term: 2, name: leader.name, incarnation: leader.incarnation, formers: [], isRecovering: false,
	}), undefined);
});

// An answer to it would be a contact of a leader that has been superseded.
test('a late ping of an earlier leader has no effect', t => {
	const clock = new ManualClock(5000);
	const followed = new FollowedLeader(clock);
	followed.recordPing(ping({term: 7}));
	clock.advance(200);
	t.false(followed.recordPing(ping({term: 6})));
	t.deepEqual(followed.leadership, {era: 0, term: 7});
	t.is(followed.lastPingAt, 5000);
});
