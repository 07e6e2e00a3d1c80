import test from 'ava';
import {KeyLoad} from './key-load.js';

test('a steady rate is measured correctly', t => {
	const load = new KeyLoad(1000);
	for (let now = 0; now < 6000; now += 50) {
		load.add(7, 25, now);
	}

	const [[key, busy]] = load.rates(6000);
	t.is(key, 7);
	t.true(busy > 0.4 && busy < 0.6, `${busy}`);
});

test('a key that becomes hot is detected within a second', t => {
	const load = new KeyLoad();
	for (let now = 0; now < 8000; now += 100) {
		load.add(1, 50, now);
	}

	for (let now = 8000; now < 9000; now += 20) {
		load.add(2, 50, now);
	}

	const rates = new Map(load.rates(9000));
	t.true(rates.get(2)! > rates.get(1)!);
});

test('an idle key is dropped', t => {
	const load = new KeyLoad(500);
	load.add(1, 50, 0);
	t.deepEqual(load.rates(10_000), []);
});

test('the mean work follows the requests', t => {
	const load = new KeyLoad();
	t.is(load.meanWorkMs, undefined);
	for (let i = 0; i < 500; i += 1) {
		load.add(i, i < 100 ? 50 : 100, i);
	}

	t.true(Math.abs(load.meanWorkMs! - 100) < 1);
});
