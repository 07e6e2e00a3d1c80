import test from 'ava';
import {KeySource} from './key-source.js';
import {Random} from './random.js';

function countKeys(exponent: number, elapsedMs: number): Map<string, number> {
	const keys = new KeySource({count: 100, exponent, shiftMs: 1000});
	const random = new Random(1);
	const counts = new Map<string, number>();
	for (let i = 0; i < 10_000; i++) {
		const key = keys.next(random, elapsedMs);
		counts.set(key, (counts.get(key) ?? 0) + 1);
	}

	return counts;
}

function findHottestKey(counts: Map<string, number>): string {
	const [first] = [...counts].toSorted(([, a], [, b]) => b - a);
	return first[0];
}

test('the hottest keys follow the Zipf distribution', t => {
	const counts = countKeys(1, 0);
	const expected = 10_000 / 5.187; // The 100th harmonic number.
	t.true(Math.abs(counts.get('k0')! - expected) < 0.1 * expected);
	t.true(Math.abs(counts.get('k1')! - (expected / 2)) < 0.1 * expected);
});

test('with exponent 0 all keys are equally likely', t => {
	t.is(countKeys(0, 0).size, 100);
	t.true(Math.max(...countKeys(0, 0).values()) < 150);
});

test('the hot set shifts after the interval', t => {
	const before = findHottestKey(countKeys(1, 999));
	const after = findHottestKey(countKeys(1, 1000));
	t.is(before, 'k0');
	t.not(after, before);
});
