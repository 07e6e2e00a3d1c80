import test from 'ava';
import {ColdStart} from './cold-start.js';

const options = {
	slots: 4, coldRequests: 9, coldMs: 0, fallOverAfter: 2, fallOverMs: 100,
};

test('the limit ramps with the requests served', t => {
	const cold = new ColdStart(options);
	const limits = Array.from({length: 10}, () => {
		const limit = cold.limit(0);
		cold.recordServed(0);
		return limit;
	});
	t.deepEqual(limits, [1, 1, 1, 2, 2, 2, 3, 3, 3, 4]);
});

test('the limit ramps with time since the first request', t => {
	const cold = new ColdStart({...options, coldRequests: 1000, coldMs: 300});
	t.is(cold.limit(10_000), 1);
	cold.recordServed(10_000);
	t.deepEqual([10_000, 10_100, 10_200, 10_300].map(now => cold.limit(now)), [1, 2, 3, 4]);
});

test('it falls over by excess within a second only, and is cold then', t => {
	const cold = new ColdStart(options);
	for (let i = 0; i < 9; i++) {
		cold.recordServed(0);
	}

	t.false(cold.recordExcess(0));
	t.false(cold.recordExcess(1000));
	t.true(cold.recordExcess(1500));
	t.is(cold.limit(1500), 1);
	t.true(cold.hasFallenOver(1599));
	t.false(cold.hasFallenOver(1600));
});
