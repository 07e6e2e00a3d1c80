import test from 'ava';
import fc from 'fast-check';
import {lapseOf} from './hold.js';

test('a lease has expired by then, whatever the clock drift of the target and the delay of the grant', t => {
	const timing = {holdMs: 6000, transitMs: 500};
	const rate = fc.double({min: 0.98, max: 1, noNaN: true});
	fc.assert(fc.property(rate, fc.double({min: 0, max: 500, noNaN: true}), (targetRate, transit) => {
		const ends = transit + (timing.holdMs / targetRate);
		t.true(ends <= lapseOf(0, timing), `${ends}`);
	}));
});
