import test from 'ava';
import {ColdLimit} from './cold-limit.js';
import {Lane, LaneEnding} from './lane.js';

const cfg = {id: 'a', slots: 4, coldRate: 8.1};

test('a cold target gets no more than its rate in any second', t => {
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

test('a target that warmed up is not limited', t => {
	const limit = new ColdLimit(1);
	limit.setCold(100);
	limit.started(50);
	t.false(limit.allows(60));
	t.is(limit.nextAt(60), 100);
	t.true(limit.allows(100));
});

test('no more requests than slots', t => {
	const lane = new Lane(cfg);
	for (let i = 0; i < 4; i += 1) {
		t.true(lane.allows(0));
		lane.start(0);
	}

	t.false(lane.allows(0));
	lane.finish(LaneEnding.Answered, 1, 10);
	t.true(lane.allows(10));
});

test('a target that is not reached is tried at growing intervals', t => {
	const lane = new Lane(cfg);
	let now = 0;
	let tries = 0;
	for (; now < 10_000; now += 10) {
		if (lane.allows(now)) {
			tries += 1;
			lane.start(now);
			lane.finish(LaneEnding.Unreachable, 1, now);
		}
	}

	t.true(tries >= 5 && tries < 16, `${tries}`);
});

test('one answer opens it again', t => {
	const lane = new Lane(cfg);
	for (let i = 0; i < 3; i += 1) {
		lane.start(0);
		lane.finish(LaneEnding.Broken, 1, 0);
	}

	t.false(lane.allows(1));
	lane.start(2000);
	lane.finish(LaneEnding.Answered, 1, 2000);
	t.true(lane.allows(2000));
	t.false(lane.isFailing);
});

test('load: a target that refuses at random keeps its slots', t => {
	const lane = new Lane(cfg);
	for (let now = 0; now < 2000; now += 20) {
		lane.start(now);
		lane.finish(now % 40 === 0 ? LaneEnding.Full : LaneEnding.Answered, 1, now);
	}

	t.is(lane.limit, 4);
	t.true(lane.allows(2000));
});

test('a target that breaks most requests gets single ones', t => {
	const lane = new Lane(cfg);
	for (let now = 0; now < 20_000; now += 200) {
		lane.start(now);
		lane.finish(now % 800 === 0 ? LaneEnding.Answered : LaneEnding.Broken, 1, now);
	}

	t.true(lane.isGrey);
	t.is(lane.limit, 1);
});

test('a closed lane starts nothing', t => {
	const lane = new Lane(cfg);
	lane.close();
	t.false(lane.allows(0));
	t.is(lane.nextAt(0), Number.POSITIVE_INFINITY);
});
