import test from 'ava';
import {SlowStartLimiter} from './slow-start-limiter.js';

const slots = 4;

/** Feeds `count` answers of one latency, each to a request sent at the limit. Returns the time of the last one. */
function feed(limiter: SlowStartLimiter, count: number, latency: number, start = 0): number {
	let now = start;
	for (let i = 0; i < count; i += 1) {
		const startedAt = now;
		now += latency;
		limiter.handleAnswer({startedAt, latency, atLimit: true}, now);
	}

	return now;
}

function warm(): {limiter: SlowStartLimiter; now: number} {
	const limiter = new SlowStartLimiter(slots);
	limiter.setReference(10);
	const now = feed(limiter, 40, 10);
	return {limiter, now};
}

test('the limit starts at one and grows with normal answers', t => {
	const limiter = new SlowStartLimiter(slots);
	t.is(limiter.limit, 1);
	limiter.setReference(10);
	feed(limiter, 8, 10);
	t.is(limiter.limit, 2);
	feed(limiter, 40, 10, 80);
	t.is(limiter.limit, slots);
});

const limits: Array<[string, number, number]> = [
	['ten times slower', 100, 1],
	['four times slower', 40, 1],
	['two times slower', 20, 2],
	['slightly slower', 15, 3],
	['normal', 12, 4],
];

for (const [name, latency, limit] of limits) {
	test(`limit by latency: ${name}`, t => {
		const limiter = new SlowStartLimiter(slots);
		limiter.setReference(10);
		feed(limiter, 60, latency);
		t.is(limiter.limit, limit);
	});
}

test('without a reference the limit grows once latencies stop falling', t => {
	const limiter = new SlowStartLimiter(slots);
	let now = 0;
	for (const latency of [100, 70, 50, 35, 25, 18]) {
		now = feed(limiter, 4, latency, now);
		t.is(limiter.limit, 1);
	}

	feed(limiter, 40, 18, now);
	t.is(limiter.limit, slots);
});

test('answers to requests sent below the limit do not count', t => {
	const limiter = new SlowStartLimiter(slots);
	limiter.setReference(10);
	for (let i = 0; i < 50; i += 1) {
		limiter.handleAnswer({startedAt: i, latency: 10, atLimit: false}, i + 10);
	}

	t.is(limiter.limit, 1);
});

test('answers to requests sent before the last change of the limit do not count', t => {
	const {limiter, now} = warm();
	limiter.reset(now);
	for (let i = 0; i < 20; i += 1) {
		limiter.handleAnswer({startedAt: now - 1, latency: 10, atLimit: true}, now + 9);
	}

	t.is(limiter.limit, 1);
});

test('a timeout halves the limit', t => {
	const {limiter, now} = warm();
	limiter.handleTimeout(now);
	t.is(limiter.limit, 2);
	limiter.handleTimeout(now);
	limiter.handleTimeout(now);
	t.is(limiter.limit, 1);
});

const restarts: Array<[string, (limiter: SlowStartLimiter, now: number) => void]> = [
	['new incarnation in an answer', (limiter, now) => {
		limiter.handleIncarnation('y', now);
	}],
	['new incarnation in a grant', (limiter, now) => {
		limiter.handleGrant({incarnation: 'y', cold: false, sentAt: now}, now);
	}],
	['cold in a grant', (limiter, now) => {
		limiter.handleGrant({incarnation: 'x', cold: true, sentAt: now}, now);
	}],
	['lost', (limiter, now) => {
		limiter.reset(now);
	}],
];

for (const [name, reset] of restarts) {
	test(`resets the limit: ${name}`, t => {
		const limiter = new SlowStartLimiter(slots);
		limiter.setReference(10);
		limiter.handleIncarnation('x', 0);
		const now = feed(limiter, 40, 10);
		t.is(limiter.limit, slots);
		reset(limiter, now);
		t.is(limiter.limit, 1);
	});
}

test('reported warm: grows unless the latencies contradict', t => {
	for (const [latency, limit] of [[18, 4], [40, 1]] as const) {
		const limiter = new SlowStartLimiter(slots);
		limiter.setReference(10);
		limiter.handleGrant({incarnation: 'x', cold: false, sentAt: 0}, 0);
		feed(limiter, 60, latency);
		t.is(limiter.limit, limit);
	}
});

test('reported cold: stays at one when the latencies show nothing', t => {
	const limiter = new SlowStartLimiter(slots);
	limiter.setReference(10);
	limiter.handleGrant({incarnation: 'x', cold: true, sentAt: 0}, 0);
	const now = feed(limiter, 60, 10);
	t.is(limiter.limit, 1);
	limiter.handleGrant({incarnation: 'x', cold: false, sentAt: now}, now);
	t.is(limiter.limit, 1);
	feed(limiter, 20, 10, now);
	t.is(limiter.limit, slots);
});

test('reported cold: grows with the warm-up that the latencies show', t => {
	const limiter = new SlowStartLimiter(slots);
	limiter.setReference(10);
	limiter.handleGrant({incarnation: 'x', cold: true, sentAt: 0}, 0);
	let now = feed(limiter, 8, 50);
	const limits = [40, 30, 24, 15, 10].map(latency => {
		now = feed(limiter, 8, latency, now);
		return limiter.limit;
	});
	t.deepEqual(limits, [1, 1, 2, 3, 4]);
});

test('reported warm before the reset: ignored', t => {
	const limiter = new SlowStartLimiter(slots);
	limiter.reset(5);
	limiter.handleGrant({incarnation: 'x', cold: false, sentAt: 4}, 6);
	t.true(limiter.needsGrant);
});

test('a warm target that becomes slow is limited until a later grant reports warm', t => {
	const limiter = new SlowStartLimiter(slots);
	limiter.setReference(10);
	limiter.handleGrant({incarnation: 'x', cold: false, sentAt: 0}, 0);
	const grown = feed(limiter, 60, 10);
	t.is(limiter.limit, slots);
	const slow = feed(limiter, 12, 100, grown);
	t.is(limiter.limit, 1);
	t.true(limiter.needsGrant);
	limiter.handleGrant({incarnation: 'x', cold: false, sentAt: grown}, slow);
	t.is(limiter.limit, 1, 'an old answer does not count');
	limiter.handleGrant({incarnation: 'x', cold: false, sentAt: slow}, slow + 1);
	t.is(limiter.limit, slots);
	feed(limiter, 40, 100, slow + 1);
	t.is(limiter.limit, slots);
});

test('reported cold: unanswered requests keep the limit at one', t => {
	const limiter = new SlowStartLimiter(slots);
	limiter.setReference(10);
	limiter.handleGrant({incarnation: 'x', cold: true, sentAt: 0}, 0);
	let now = feed(limiter, 8, 50);
	for (let i = 0; i < 40; i += 1) {
		limiter.handleUnanswered({startedAt: now, atLimit: true}, now + 50);
		limiter.handleUnanswered({startedAt: now, atLimit: true}, now + 50);
		now = feed(limiter, 3, 10, now + 50);
	}

	t.is(limiter.limit, 1);
});

test('the latency of the warm target is the reference of its next cold start', t => {
	const limiter = new SlowStartLimiter(slots);
	limiter.handleGrant({incarnation: 'x', cold: false, sentAt: 0}, 0);
	const warmedAt = feed(limiter, 100, 10);
	t.is(limiter.limit, slots);
	limiter.handleGrant({incarnation: 'y', cold: true, sentAt: warmedAt}, warmedAt);
	let now = feed(limiter, 8, 50, warmedAt);
	t.is(limiter.limit, 1);
	now = feed(limiter, 8, 24, now);
	t.is(limiter.limit, 2);
	feed(limiter, 8, 15, now);
	t.is(limiter.limit, 3);
});
