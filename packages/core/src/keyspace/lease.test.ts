import test from 'ava';
import fc from 'fast-check';
import {leaseExpiry} from './lease.js';

test('a lease has expired at the computed time for any clock drift of the target and any delay of the grant', t => {
	const timing = {leaseMs: 6000, transitMs: 500};
	const rate = fc.double({min: 0.98, max: 1, noNaN: true});
	fc.assert(fc.property(rate, fc.double({min: 0, max: 500, noNaN: true}), (targetRate, transit) => {
		const ends = transit + (timing.leaseMs / targetRate);
		t.true(ends <= leaseExpiry(0, timing), `${ends}`);
	}));
});
