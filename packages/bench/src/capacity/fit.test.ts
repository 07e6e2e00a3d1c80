import test from 'ava';
import {fitLine, predictValue} from './fit.js';

test('a straight line is fitted exactly', t => {
	const fit = fitLine([1, 2, 3, 4].map(size => ({size, value: 5 + (2 * size)})));
	t.is(fit.slope, 2);
	t.is(fit.intercept, 5);
	t.is(fit.residual, 0);
	t.is(predictValue(fit, 10), 25);
});

test('the residual shows that the points are not on a line', t => {
	const fit = fitLine([1, 2, 3, 4].map(size => ({size, value: size ** 3})));
	t.true(fit.residual > 0.05);
});
