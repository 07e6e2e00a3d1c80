import test from 'ava';
import {ColdRateLimiter} from './cold-rate-limiter.js';
import {TargetLimiter, AttemptOutcome} from './target-limiter.js';

const cfg = {id: 'a', slots: 4, coldRate: 8.1};

test('a cold target receives no more than its rate in any second', t => {
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

test('a warm target is not limited', t => {
	const limit = new ColdRateLimiter(1);
	limit.markCold(100);
	limit.recordStart(50);
	t.false(limit.mayStart(60));
	t.is(limit.nextStartAt(60), 100);
	t.true(limit.mayStart(100));
});

test('no more requests than slots', t => {
	const limiter = new TargetLimiter(cfg);
	for (let i = 0; i < 4; i += 1) {
		t.true(limiter.mayStart(0));
		limiter.recordStart(0);
	}

	t.false(limiter.mayStart(0));
	limiter.recordEnd(AttemptOutcome.Answered, 1, 10);
	t.true(limiter.mayStart(10));
});

test('an unreachable target is tried at growing intervals', t => {
	const limiter = new TargetLimiter(cfg);
	let now = 0;
	let tries = 0;
	for (; now < 10_000; now += 10) {
		if (limiter.mayStart(now)) {
			tries += 1;
			limiter.recordStart(now);
			limiter.recordEnd(AttemptOutcome.Unreachable, 1, now);
		}
	}

	t.true(tries >= 5 && tries < 16, `${tries}`);
});

test('one answer ends the pause after failures', t => {
	const limiter = new TargetLimiter(cfg);
	for (let i = 0; i < 3; i += 1) {
		limiter.recordStart(0);
		limiter.recordEnd(AttemptOutcome.Broken, 1, 0);
	}

	t.false(limiter.mayStart(1));
	limiter.recordStart(2000);
	limiter.recordEnd(AttemptOutcome.Answered, 1, 2000);
	t.true(limiter.mayStart(2000));
	t.false(limiter.isFailing);
});

test('load: a target that refuses at random keeps its slots', t => {
	const limiter = new TargetLimiter(cfg);
	for (let now = 0; now < 2000; now += 20) {
		limiter.recordStart(now);
		limiter.recordEnd(now % 40 === 0 ? AttemptOutcome.Full : AttemptOutcome.Answered, 1, now);
	}

	t.is(limiter.limit, 4);
	t.true(limiter.mayStart(2000));
});

test('a target that fails most requests receives one at a time', t => {
	const limiter = new TargetLimiter(cfg);
	for (let now = 0; now < 20_000; now += 200) {
		limiter.recordStart(now);
		limiter.recordEnd(now % 800 === 0 ? AttemptOutcome.Answered : AttemptOutcome.Broken, 1, now);
	}

	t.true(limiter.isDegraded);
	t.is(limiter.limit, 1);
});

test('a target that asked for a pause receives nothing until its end, whatever ends meanwhile', t => {
	const limiter = new TargetLimiter(cfg);
	limiter.recordStart(0);
	limiter.pause(3000, 100);
	limiter.pause(500, 200);
	limiter.recordEnd(AttemptOutcome.Answered, 1, 300);
	t.false(limiter.mayStart(3099));
	t.is(limiter.nextStartAt(300), 3100);
	t.true(limiter.mayStart(3100));
});

test('a closed limiter starts nothing', t => {
	const limiter = new TargetLimiter(cfg);
	limiter.close();
	t.false(limiter.mayStart(0));
	t.is(limiter.nextStartAt(0), Number.POSITIVE_INFINITY);
});
