import test from 'ava';
import fc from 'fast-check';
import {GrantedLease} from './granted-lease.js';
import {HeldLease} from './held-lease.js';

const options = {leaseMs: 1000, transitMs: 200, driftShare: 0.01};

test('a lease that was never renewed has ended', t => {
	t.true(new GrantedLease(options).hasEnded(0));
	t.false(new HeldLease(0.01).holds(0));
});

test('an unanswered renewal counts as accepted at its latest arrival', t => {
	const lease = new GrantedLease(options);
	lease.recordSent(0);
	t.is(lease.usableUntil(), -Infinity);
	t.is(lease.endsAt(), 1210);
});

test('a refused later renewal does not cancel an unanswered one', t => {
	const lease = new GrantedLease(options);
	lease.recordSent(0);
	lease.recordSent(500);
	lease.recordRefused(500);
	t.is(lease.endsAt(), 1210);
});

test('a refused renewal extends nothing', t => {
	const lease = new GrantedLease(options);
	lease.recordSent(0);
	lease.recordRefused(0);
	t.true(lease.hasEnded(0));
});

test('an accepted renewal makes the lease usable and its end earlier', t => {
	const lease = new GrantedLease(options);
	lease.recordSent(0);
	lease.recordAccepted(0, 20);
	t.is(lease.usableUntil(), 990);
	t.is(lease.endsAt(), 1030);
});

test('a holder stops early by the drift margin, and at its release', t => {
	const lease = new HeldLease(0.01);
	lease.renew(0, 1000);
	t.true(lease.holds(989));
	t.false(lease.holds(990));
	lease.renew(10, 100);
	t.is(lease.until(), 990);
	lease.release();
	t.false(lease.holds(10));
});

test('the grantor waits longer than the holder acts, for any transit time and drift', t => {
	const rate = fc.double({min: 0.99, max: 1.01, noNaN: true});
	const transit = fc.double({min: 0, max: 190, noNaN: true});
	fc.assert(fc.property(rate, rate, transit, fc.boolean(), (grantorRate, holderRate, transitMs, isAnswered) => {
		const granted = new GrantedLease(options);
		const held = new HeldLease(options.driftShare);
		granted.recordSent(0);
		held.renew(transitMs * holderRate, options.leaseMs);
		if (isAnswered) {
			granted.recordAccepted(0, transitMs * grantorRate);
		}

		const holderEnd = held.until() / holderRate;
		t.true(granted.endsAt() / grantorRate >= holderEnd);
	}));
});

// A lease that counted from the arrival of its renewal began anew in a holder that had been frozen with it.
test('a renewal that a frozen holder reads late gives no longer lease', t => {
	const rate = fc.double({min: 0.99, max: 1.01, noNaN: true});
	const delay = fc.double({min: 0, max: 10_000, noNaN: true});
	fc.assert(fc.property(rate, rate, delay, delay, (grantorRate, holderRate, askMs, frozenMs) => {
		const granted = new GrantedLease(options);
		const held = new HeldLease(options.driftShare);
		granted.recordSent(askMs * grantorRate);
		held.renew(0, options.leaseMs);
		const readAt = askMs + frozenMs;
		t.false(held.holds(readAt * holderRate) && granted.hasEnded(readAt * grantorRate));
	}));
});
