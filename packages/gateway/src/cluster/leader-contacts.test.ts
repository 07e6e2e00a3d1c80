import test from 'ava';
import {aloneAfterMs, contactLimitMs, LeaderContacts} from './leader-contacts.js';

const start = 100_000;

function answer(sentAt: number, changes: {incarnation?: string; isRegistered?: boolean} = {}) {
	return {
		incarnation: 'b-1', isRegistered: true, sentAt, ...changes,
	};
}

/** Contacts of a leader with instance b, which answered before the store confirmed the leader. */
function setUp(): LeaderContacts {
	const contacts = new LeaderContacts(start);
	contacts.add('b', 'b-1', start);
	contacts.recordAnswer('b', answer(start + 100), start + 120);
	contacts.recordConfirmation(start + 500, start + 510);
	return contacts;
}

// A leader of a deployment with one instance continues while the store is unavailable.
test('a leader that knows no other instance may send grants', t => {
	t.true(new LeaderContacts(start).mayGrant(start + 60_000));
});

test('a leader sends no grants once no follower has answered for a time', t => {
	const contacts = setUp();
	t.true(contacts.mayGrant(start + 100 + contactLimitMs - 1));
	t.false(contacts.mayGrant(start + 100 + contactLimitMs));
	contacts.recordAnswer('b', answer(start + 3000), start + 3010);
	t.true(contacts.mayGrant(start + 4000));
});

// A leader that wakes from a freeze finds answers that arrived meanwhile.
test('the age of an answer counts from the send of its ping', t => {
	const contacts = setUp();
	contacts.recordAnswer('b', answer(start + 600), start + 8000);
	t.false(contacts.mayGrant(start + 8000));
});

// It may have started after the next leader was elected, which then does not wait for it.
test('a process that was not known before the last confirmation is no contact', t => {
	const contacts = setUp();
	contacts.recordAnswer('c', answer(start + 2500, {incarnation: 'c-1'}), start + 2510);
	contacts.recordAnswer('b', answer(start + 2500, {incarnation: 'b-2'}), start + 2510);
	t.false(contacts.mayGrant(start + 2520));
	contacts.recordConfirmation(start + 2505, start + 2530);
	t.false(contacts.mayGrant(start + 2540));
	contacts.recordConfirmation(start + 2600, start + 2610);
	t.true(contacts.mayGrant(start + 2620));
});

// The next leader finds instances in the register only.
test('a process that is not in the register is no contact', t => {
	const contacts = new LeaderContacts(start);
	contacts.recordAnswer('b', answer(start + 100, {isRegistered: false}), start + 120);
	contacts.recordConfirmation(start + 500, start + 510);
	t.false(contacts.mayGrant(start + contactLimitMs));
});

// The next leader does not wait for an instance that the last ping declared absent.
test('an instance that was declared absent is a contact only after some time, also as another process', t => {
	for (const incarnation of ['b-1', 'b-2']) {
		const contacts = setUp();
		t.deepEqual(contacts.createStatement(start + 3200), {ageMs: 3100, absent: ['b']});
		contacts.recordAnswer('b', answer(start + 3300, {incarnation}), start + 3310);
		t.deepEqual(contacts.createStatement(start + 3320), {ageMs: 3220});
		contacts.recordConfirmation(start + 4000, start + 4010);
		contacts.recordAnswer('b', answer(start + 4100, {incarnation}), start + 4110);
		t.false(contacts.mayGrant(start + 4120));
		contacts.recordAnswer('b', answer(start + 7800, {incarnation}), start + 7810);
		contacts.recordConfirmation(start + 3310 + aloneAfterMs + 1, start + 7820);
		t.deepEqual(contacts.createStatement(start + 7900), {ageMs: 100});
	}
});

test('a leader without contacts is alone once the store confirms it after some time', t => {
	const contacts = setUp();
	const from = start + 100 + aloneAfterMs;
	contacts.recordConfirmation(from - 1, from + 10);
	t.false(contacts.mayGrant(from + 20));
	t.true(contacts.isConfirmationDue(from + 20));
	contacts.recordConfirmation(from, from + 30);
	t.true(contacts.mayGrant(from + 10_000));
	t.is(contacts.createStatement(from + 40), undefined);
	t.false(contacts.isConfirmationDue(from + 40));
	contacts.recordAnswer('b', answer(from + 5000), from + 5010);
	t.true(contacts.mayGrant(from + 5010));
});

// The instance was absent, so that a proof of an earlier time may leave it out.
test('a leader that is alone stays so until an instance counts again', t => {
	const contacts = setUp();
	contacts.createStatement(start + 4000);
	contacts.recordConfirmation(start + 5000, start + 5010);
	contacts.recordAnswer('b', answer(start + 5100), start + 5110);
	t.is(contacts.createStatement(start + 5200), undefined);
	contacts.recordConfirmation(start + 9700, start + 9710);
	contacts.recordAnswer('b', answer(start + 9800), start + 9810);
	t.deepEqual(contacts.createStatement(start + 9900), {ageMs: 100});
});

// The monotonic clock may have stood still, so that the age of the last answer is not known.
test('after a clock step only pings sent since then give a contact', t => {
	const contacts = setUp();
	contacts.forget(start + 700);
	contacts.recordConfirmation(start + 710, start + 720);
	contacts.recordAnswer('b', answer(start + 650), start + 730);
	t.false(contacts.mayGrant(start + 740));
	t.deepEqual(contacts.createStatement(start + 740), {ageMs: 40});
	contacts.recordAnswer('b', answer(start + 750), start + 760);
	t.true(contacts.mayGrant(start + 770));
});

// The next leader may have read the register before the process wrote its entry, as after a return of the store.
test('a process that registers after the last confirmation is no contact', t => {
	const contacts = new LeaderContacts(start);
	contacts.recordAnswer('b', answer(start + 100, {isRegistered: false}), start + 120);
	contacts.recordConfirmation(start + 500, start + 510);
	contacts.recordAnswer('b', answer(start + 2500), start + 2510);
	t.false(contacts.mayGrant(start + 2520));
});

// A restart must not shorten the time after an absence: a proof of an earlier time may leave the instance out.
test('a process that starts again after an absence does not count sooner', t => {
	const contacts = setUp();
	contacts.createStatement(start + 3200);
	contacts.recordAnswer('b', answer(start + 3300), start + 3310);
	contacts.recordAnswer('b', answer(start + 3900, {incarnation: 'b-2'}), start + 3910);
	contacts.recordConfirmation(start + 4000, start + 4010);
	t.false(contacts.mayGrant(start + 4020));
});

// The process may have registered anew, after a return of the store, since the question was asked.
test('a process of the view of the leader before counts from its first answer', t => {
	const contacts = new LeaderContacts(start);
	contacts.addFromView('b', 'b-1', start);
	contacts.recordConfirmation(start + 500, start + 510);
	contacts.recordAnswer('b', answer(start + 2500), start + 2510);
	t.false(contacts.mayGrant(start + 2520));
	contacts.recordConfirmation(start + 2600, start + 2610);
	t.true(contacts.mayGrant(start + 2620));
});
