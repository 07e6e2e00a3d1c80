import test from 'ava';
import {ColdStart} from './cold-start.js';

const options = {
	slots: 4, coldRequests: 9, coldMs: 0, fallOverAfter: 2, fallOverMs: 100,
};

test('the limit grows with the requests served', t => {
	const coldStart = new ColdStart(options);
	const limits = Array.from({length: 10}, () => {
		const limit = coldStart.limit(0);
		coldStart.recordServed(0);
		return limit;
	});
	t.deepEqual(limits, [1, 1, 1, 2, 2, 2, 3, 3, 3, 4]);
});

test('the limit grows with the time since the first request', t => {
	const coldStart = new ColdStart({...options, coldRequests: 1000, coldMs: 300});
	t.is(coldStart.limit(10_000), 1);
	coldStart.recordServed(10_000);
	t.deepEqual([10_000, 10_100, 10_200, 10_300].map(now => coldStart.limit(now)), [1, 2, 3, 4]);
});

test('a target falls over by excess within one second only, and is cold afterwards', t => {
	const coldStart = new ColdStart(options);
	for (let i = 0; i < 9; i++) {
		coldStart.recordServed(0);
	}

	t.false(coldStart.recordExcess(0));
	t.false(coldStart.recordExcess(1000));
	t.true(coldStart.recordExcess(1500));
	t.is(coldStart.limit(1500), 1);
	t.true(coldStart.hasFallenOver(1599));
	t.false(coldStart.hasFallenOver(1600));
});
