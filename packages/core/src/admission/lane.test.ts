import test from 'ava';
import {ColdLimit} from './cold-limit.js';
import {Lane, LaneEnding} from './lane.js';

const cfg = {id: 'a', slots: 4, coldRate: 8.1};

test('a cold target receives no more than its rate in any second', t => {
	const limit = new ColdLimit(8.1);
	limit.setCold(10_000);
	const starts: number[] = [];
	for (let now = 0; now < 9000; now += 7) {
		if (limit.allows(now)) {
			limit.started(now);
			starts.push(now);
		}
	}

	for (const start of starts) {
		t.true(starts.filter(other => other >= start && other < start + 1000).length <= 8);
	}
});

test('a warm target is not limited', t => {
	const limit = new ColdLimit(1);
	limit.setCold(100);
	limit.started(50);
	t.false(limit.allows(60));
	t.is(limit.nextAt(60), 100);
	t.true(limit.allows(100));
});

test('no more requests than slots', t => {
	const limiter = new Lane(cfg);
	for (let i = 0; i < 4; i += 1) {
		t.true(limiter.allows(0));
		limiter.start(0);
	}

	t.false(limiter.allows(0));
	limiter.finish(LaneEnding.Answered, 1, 10);
	t.true(limiter.allows(10));
});

test('an unreachable target is tried at growing intervals', t => {
	const limiter = new Lane(cfg);
	let now = 0;
	let tries = 0;
	for (; now < 10_000; now += 10) {
		if (limiter.allows(now)) {
			tries += 1;
			limiter.start(now);
			limiter.finish(LaneEnding.Unreachable, 1, now);
		}
	}

	t.true(tries >= 5 && tries < 16, `${tries}`);
});

test('one answer ends the pause after failures', t => {
	const limiter = new Lane(cfg);
	for (let i = 0; i < 3; i += 1) {
		limiter.start(0);
		limiter.finish(LaneEnding.Broken, 1, 0);
	}

	t.false(limiter.allows(1));
	limiter.start(2000);
	limiter.finish(LaneEnding.Answered, 1, 2000);
	t.true(limiter.allows(2000));
	t.false(limiter.isFailing);
});

test('load: a target that refuses at random keeps its slots', t => {
	const limiter = new Lane(cfg);
	for (let now = 0; now < 2000; now += 20) {
		limiter.start(now);
		limiter.finish(now % 40 === 0 ? LaneEnding.Full : LaneEnding.Answered, 1, now);
	}

	t.is(limiter.limit, 4);
	t.true(limiter.allows(2000));
});

test('a target that fails most requests receives one at a time', t => {
	const limiter = new Lane(cfg);
	for (let now = 0; now < 20_000; now += 200) {
		limiter.start(now);
		limiter.finish(now % 800 === 0 ? LaneEnding.Answered : LaneEnding.Broken, 1, now);
	}

	t.true(limiter.isGrey);
	t.is(limiter.limit, 1);
});

test('a closed limiter starts nothing', t => {
	const limiter = new Lane(cfg);
	limiter.close();
	t.false(limiter.allows(0));
	t.is(limiter.nextAt(0), Number.POSITIVE_INFINITY);
});
