import test from 'ava';
import {evictionWait, type EvictionMember} from './eviction-wait.js';
import {Right} from './right.js';

const options = {rightMs: 1000, isolationMs: 5000, driftShare: 0.01};

test('a new right is not valid', t => {
	t.false(new Right(options).holds(0));
	t.is(new Right({...options, isolationMs: Infinity}).until(), -Infinity);
});

test('a right needs both a vouch and a contact', t => {
	const vouched = new Right(options);
	vouched.recordVouch(100);
	t.false(vouched.holds(100));
	const inContact = new Right(options);
	inContact.recordContact(100);
	t.false(inContact.holds(100));
	inContact.recordVouch(100);
	t.true(inContact.holds(100));
});

test('a read of the log confirms both vouch and contact', t => {
	const right = new Right(options);
	right.recordLogConfirmation(100);
	t.is(right.until(), 1090);
	t.false(right.holds(1090));
});

test('an older answer does not shorten the right', t => {
	const right = new Right(options);
	right.recordLogConfirmation(500);
	right.recordLogConfirmation(100);
	t.is(right.until(), 1490);
});

test('a contact reported by a peer counts by its age, with drift margin', t => {
	const right = new Right(options);
	right.recordPeerContact(10_000, 4000);
	right.recordVouch(10_000);
	t.is(right.until(), 10_000 - 4040 + 4950);
	t.is(right.contactAge(10_000), 4040);
});

test('with unbounded isolation only the vouch limits the right', t => {
	const right = new Right({...options, isolationMs: Infinity});
	right.recordLogConfirmation(0);
	right.recordVouch(90_000);
	t.true(right.holds(90_500));
	t.false(right.holds(91_000));
});

test('an eviction is final', t => {
	const right = new Right(options);
	right.recordLogConfirmation(0);
	right.recordEviction();
	right.recordLogConfirmation(10);
	t.false(right.holds(10));
});

const member = (id: string, domain: string, confirmed: boolean, evicted = false): EvictionMember =>
	({
		id, domain, confirmed, evicted,
	});

const waits: ReadonlyArray<[string, EvictionMember[], number, string[]]> = [
	['all confirmed', [member('a2', 'a', true), member('b1', 'b', true)], 1010, []],
	['alone', [], 1010, []],
	['unconfirmed member in the domain', [member('a2', 'a', false), member('b1', 'b', true)], 6060, ['a2']],
	['unconfirmed evicted member in the domain', [member('a2', 'a', false, true), member('b1', 'b', true)], 6060, []],
	['unconfirmed member in another domain', [member('a2', 'a', true), member('b1', 'b', false)], Infinity, []],
	['unconfirmed members in two domains', [member('a2', 'a', false), member('b1', 'b', false)], Infinity, ['a2']],
];

for (const [name, others, waitMs, evictToo] of waits) {
	test(`eviction wait: ${name}`, t => {
		t.deepEqual(evictionWait(options, 'a', others), {waitMs, evictToo});
	});
}

test('the wait is longer than the right under the largest drift', t => {
	const right = new Right(options);
	right.recordLogConfirmation(0);
	const slowestHolderMs = right.until() / (1 - options.driftShare);
	const fastestEvictorMs = evictionWait(options, 'a', []).waitMs / (1 + options.driftShare);
	t.true(slowestHolderMs <= fastestEvictorMs);
});
