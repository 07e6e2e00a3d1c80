import test from 'ava';
import {seededRandom} from './seeded-random.js';

test('the same seed yields the same numbers between 0 and 1', t => {
	const draw = (seed: number) => {
		const random = seededRandom(seed);
		return Array.from({length: 1000}, () => random());
	};

	t.deepEqual(draw(7), draw(7));
	t.notDeepEqual(draw(7), draw(8));
	t.true(draw(0).every(value => value > 0 && value < 1));
	const mean = draw(7).reduce((sum, value) => sum + value, 0) / 1000;
	t.true(Math.abs(mean - 0.5) < 0.05);
});
