import test from 'ava';
import {ColdRateLimiter} from './cold-rate-limiter.js';
import {TargetLimiter, AttemptOutcome} from './target-limiter.js';

const cfg = {id: 'a', slots: 4, coldRate: 8.1};

test('a cold target gets no more than its rate in any second', t => {
	const limit = new ColdRateLimiter(8.1);
	limit.markCold(10_000);
	const starts: number[] = [];
	for (let now = 0; now < 9000; now += 7) {
		if (limit.mayStart(now)) {
			limit.recordStart(now);
			starts.push(now);
		}
	}

	for (const start of starts) {
		t.true(starts.filter(other => other >= start && other < start + 1000).length <= 8);
	}
});

test('a target that warmed up is not limited', t => {
	const limit = new ColdRateLimiter(1);
	limit.markCold(100);
	limit.recordStart(50);
	t.false(limit.mayStart(60));
	t.is(limit.nextStartAt(60), 100);
	t.true(limit.mayStart(100));
});

test('no more requests than slots', t => {
	const lane = new TargetLimiter(cfg);
	for (let i = 0; i < 4; i += 1) {
		t.true(lane.mayStart(0));
		lane.recordStart(0);
	}

	t.false(lane.mayStart(0));
	lane.recordEnd(AttemptOutcome.Answered, 1, 10);
	t.true(lane.mayStart(10));
});

test('a target that is not reached is tried at growing intervals', t => {
	const lane = new TargetLimiter(cfg);
	let now = 0;
	let tries = 0;
	for (; now < 10_000; now += 10) {
		if (lane.mayStart(now)) {
			tries += 1;
			lane.recordStart(now);
			lane.recordEnd(AttemptOutcome.Unreachable, 1, now);
		}
	}

	t.true(tries >= 5 && tries < 16, `${tries}`);
});

test('one answer opens it again', t => {
	const lane = new TargetLimiter(cfg);
	for (let i = 0; i < 3; i += 1) {
		lane.recordStart(0);
		lane.recordEnd(AttemptOutcome.Broken, 1, 0);
	}

	t.false(lane.mayStart(1));
	lane.recordStart(2000);
	lane.recordEnd(AttemptOutcome.Answered, 1, 2000);
	t.true(lane.mayStart(2000));
	t.false(lane.isFailing);
});

test('load: a target that refuses at random keeps its slots', t => {
	const lane = new TargetLimiter(cfg);
	for (let now = 0; now < 2000; now += 20) {
		lane.recordStart(now);
		lane.recordEnd(now % 40 === 0 ? AttemptOutcome.Full : AttemptOutcome.Answered, 1, now);
	}

	t.is(lane.limit, 4);
	t.true(lane.mayStart(2000));
});

test('a target that breaks most requests gets single ones', t => {
	const lane = new TargetLimiter(cfg);
	for (let now = 0; now < 20_000; now += 200) {
		lane.recordStart(now);
		lane.recordEnd(now % 800 === 0 ? AttemptOutcome.Answered : AttemptOutcome.Broken, 1, now);
	}

	t.true(lane.isDegraded);
	t.is(lane.limit, 1);
});

test('a closed lane starts nothing', t => {
	const lane = new TargetLimiter(cfg);
	lane.close();
	t.false(lane.mayStart(0));
	t.is(lane.nextStartAt(0), Number.POSITIVE_INFINITY);
});
