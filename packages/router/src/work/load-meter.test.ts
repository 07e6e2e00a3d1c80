import test from 'ava';
import {LoadMeter} from './load-meter.js';

test('requests are counted by shard and key', t => {
	const meter = new LoadMeter();
	meter.count(1, 'a');
	meter.count(1, 'b');
	meter.count(2, 'a');
	const {shards, keys} = meter.readAndReset();
	t.deepEqual([...shards], [[1, 2], [2, 1]]);
	t.is(keys.get('a'), 2);
	t.is(meter.readAndReset().shards.size, 0);
});

test('a frequent key is found among many', t => {
	const meter = new LoadMeter();
	for (let i = 0; i < 10_000; i += 1) {
		meter.count(0, i % 10 === 0 ? 'hot' : `k${i}`);
	}

	const {keys} = meter.readAndReset();
	t.true(keys.size <= 256);
	t.true((keys.get('hot') ?? 0) > 900);
});
