import test from 'ava';
import {SlowStartLimiter} from './slow-start-limiter.js';

const slots = 4;

/** Feeds `count` answers of one latency, each sent at the limit. */
function feed(ramp: SlowStartLimiter, count: number, latency: number, start = 0): number {
	let now = start;
	for (let i = 0; i < count; i += 1) {
		const startedAt = now;
		now += latency;
		ramp.handleAnswer({startedAt, latency, atLimit: true}, now);
	}

	return now;
}

function warm(): {ramp: SlowStartLimiter; now: number} {
	const ramp = new SlowStartLimiter(slots);
	ramp.setReference(10);
	const now = feed(ramp, 40, 10);
	return {ramp, now};
}

test('starts at one and grows with normal answers', t => {
	const ramp = new SlowStartLimiter(slots);
	t.is(ramp.limit, 1);
	ramp.setReference(10);
	feed(ramp, 8, 10);
	t.is(ramp.limit, 2);
	feed(ramp, 40, 10, 80);
	t.is(ramp.limit, slots);
});

const room: Array<[string, number, number]> = [
	['ten times slower', 100, 1],
	['four times slower', 40, 1],
	['twice as slow', 20, 2],
	['a little slow', 15, 3],
	['normal', 12, 4],
];

for (const [name, latency, limit] of room) {
	test(`bears by work: ${name}`, t => {
		const ramp = new SlowStartLimiter(slots);
		ramp.setReference(10);
		feed(ramp, 60, latency);
		t.is(ramp.limit, limit);
	});
}

test('without a reference it waits until latencies no longer fall', t => {
	const ramp = new SlowStartLimiter(slots);
	let now = 0;
	for (const latency of [100, 70, 50, 35, 25, 18]) {
		now = feed(ramp, 4, latency, now);
		t.is(ramp.limit, 1);
	}

	feed(ramp, 40, 18, now);
	t.is(ramp.limit, slots);
});

test('answers below the limit prove nothing', t => {
	const ramp = new SlowStartLimiter(slots);
	ramp.setReference(10);
	for (let i = 0; i < 50; i += 1) {
		ramp.handleAnswer({startedAt: i, latency: 10, atLimit: false}, i + 10);
	}

	t.is(ramp.limit, 1);
});

test('answers sent before the last change prove nothing', t => {
	const {ramp, now} = warm();
	ramp.reset(now);
	for (let i = 0; i < 20; i += 1) {
		ramp.handleAnswer({startedAt: now - 1, latency: 10, atLimit: true}, now + 9);
	}

	t.is(ramp.limit, 1);
});

test('timeouts halve', t => {
	const {ramp, now} = warm();
	ramp.handleTimeout(now);
	t.is(ramp.limit, 2);
	ramp.handleTimeout(now);
	ramp.handleTimeout(now);
	t.is(ramp.limit, 1);
});

const restarts: Array<[string, (ramp: SlowStartLimiter, now: number) => void]> = [
	['new incarnation in an answer', (ramp, now) => {
		ramp.handleIncarnation('y', now);
	}],
	['new incarnation in a grant', (ramp, now) => {
		ramp.handleGrant({incarnation: 'y', cold: false, sentAt: now}, now);
	}],
	['cold in a grant', (ramp, now) => {
		ramp.handleGrant({incarnation: 'x', cold: true, sentAt: now}, now);
	}],
	['lost', (ramp, now) => {
		ramp.reset(now);
	}],
];

for (const [name, act] of restarts) {
	test(`starts again: ${name}`, t => {
		const ramp = new SlowStartLimiter(slots);
		ramp.setReference(10);
		ramp.handleIncarnation('x', 0);
		const now = feed(ramp, 40, 10);
		t.is(ramp.limit, slots);
		act(ramp, now);
		t.is(ramp.limit, 1);
	});
}

test('says warm: grows unless its latencies contradict', t => {
	for (const [latency, limit] of [[18, 4], [40, 1]] as const) {
		const ramp = new SlowStartLimiter(slots);
		ramp.setReference(10);
		ramp.handleGrant({incarnation: 'x', cold: false, sentAt: 0}, 0);
		feed(ramp, 60, latency);
		t.is(ramp.limit, limit);
	}
});

test('says cold: one when its latencies show nothing', t => {
	const ramp = new SlowStartLimiter(slots);
	ramp.setReference(10);
	ramp.handleGrant({incarnation: 'x', cold: true, sentAt: 0}, 0);
	const now = feed(ramp, 60, 10);
	t.is(ramp.limit, 1);
	ramp.handleGrant({incarnation: 'x', cold: false, sentAt: now}, now);
	t.is(ramp.limit, 1);
	feed(ramp, 20, 10, now);
	t.is(ramp.limit, slots);
});

test('says cold: grows with the warmth that its latencies show, never to the last slot', t => {
	const ramp = new SlowStartLimiter(slots);
	ramp.setReference(10);
	ramp.handleGrant({incarnation: 'x', cold: true, sentAt: 0}, 0);
	let now = feed(ramp, 8, 50);
	const limits = [40, 30, 24, 15, 10].map(latency => {
		now = feed(ramp, 8, latency, now);
		return ramp.limit;
	});
	t.deepEqual(limits, [1, 1, 2, 3, 4]);
});

test('says warm before the reset: not believed', t => {
	const ramp = new SlowStartLimiter(slots);
	ramp.reset(5);
	ramp.handleGrant({incarnation: 'x', cold: false, sentAt: 4}, 6);
	t.true(ramp.needsGrant);
});

test('a warmed target that turns slow is held until a later grant says warm', t => {
	const ramp = new SlowStartLimiter(slots);
	ramp.setReference(10);
	ramp.handleGrant({incarnation: 'x', cold: false, sentAt: 0}, 0);
	const grown = feed(ramp, 60, 10);
	t.is(ramp.limit, slots);
	const slow = feed(ramp, 12, 100, grown);
	t.is(ramp.limit, 1);
	t.true(ramp.needsGrant);
	ramp.handleGrant({incarnation: 'x', cold: false, sentAt: grown}, slow);
	t.is(ramp.limit, 1, 'an old answer proves nothing');
	ramp.handleGrant({incarnation: 'x', cold: false, sentAt: slow}, slow + 1);
	t.is(ramp.limit, slots);
	feed(ramp, 40, 100, slow + 1);
	t.is(ramp.limit, slots);
});

test('says cold: answers too slow to be seen hold the limit', t => {
	const ramp = new SlowStartLimiter(slots);
	ramp.setReference(10);
	ramp.handleGrant({incarnation: 'x', cold: true, sentAt: 0}, 0);
	let now = feed(ramp, 8, 50);
	for (let i = 0; i < 40; i += 1) {
		ramp.handleUnanswered({startedAt: now, atLimit: true}, now + 50);
		ramp.handleUnanswered({startedAt: now, atLimit: true}, now + 50);
		now = feed(ramp, 3, 10, now + 50);
	}

	t.is(ramp.limit, 1);
});

test('what it showed when warm is the reference of its next cold start', t => {
	const ramp = new SlowStartLimiter(slots);
	ramp.handleGrant({incarnation: 'x', cold: false, sentAt: 0}, 0);
	const warmedAt = feed(ramp, 100, 10);
	t.is(ramp.limit, slots);
	ramp.handleGrant({incarnation: 'y', cold: true, sentAt: warmedAt}, warmedAt);
	let now = feed(ramp, 8, 50, warmedAt);
	t.is(ramp.limit, 1);
	now = feed(ramp, 8, 24, now);
	t.is(ramp.limit, 2);
	feed(ramp, 8, 15, now);
	t.is(ramp.limit, 3);
});
