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
