import test from 'ava';
import {ManualClock} from '@bluebellyard/core';
import {ContactProofs, undetectedStepMs} from './contact-proof.js';
import {LastContacts, sendAfterContactMs} from './last-contacts.js';
import {aloneAfterMs} from './leader-contacts.js';

test('a proof holds from the repeated stamp, less the age of the contact, for a limited time', t => {
	const clock = new ManualClock(10_000);
	const proofs = new ContactProofs(clock);
	const echo = proofs.createStamp();
	clock.advance(600);
	proofs.record({ageMs: 1000, echo, absent: ['gone']});
	const proof = proofs.find();
	t.deepEqual(proof?.absent, ['gone']);
	t.is(Math.round(proof!.validUntil), 10_000 - 1030 + 4365 - undetectedStepMs);
	clock.advance(2400);
	t.truthy(proofs.find());
	clock.advance(100);
	t.is(proofs.find(), undefined);
});

// The ping may be old: one of an earlier process, or one that was delayed.
test('a ping without a stamp of this process proves nothing, a late one no more than before', t => {
	const clock = new ManualClock(10_000);
	const proofs = new ContactProofs(clock);
	const first = proofs.createStamp();
	proofs.record({ageMs: 0});
	proofs.record({ageMs: 0, echo: 9000});
	t.is(proofs.find(), undefined);
	clock.advance(600);
	const second = proofs.createStamp();
	proofs.record({ageMs: 500, echo: second});
	const proof = proofs.find();
	proofs.record({ageMs: 0, echo: first, absent: ['b']});
	t.deepEqual(proofs.find(), proof);
});

test('a proof is dropped after a clock step, as its age is not known', t => {
	const clock = new ManualClock(10_000);
	const proofs = new ContactProofs(clock);
	const echo = proofs.createStamp();
	proofs.record({ageMs: 0, echo});
	clock.stepWall(3000);
	t.is(proofs.find(), undefined);
	proofs.record({ageMs: 0, echo});
	t.is(proofs.find(), undefined);
});

test('the bound is known once all registered instances follow but the former leader and absent ones', t => {
	const contacts = new LastContacts({leader: 'a', answeredAt: 1000, absent: ['gone']});
	contacts.recordFollower('b', 1500);
	t.is(contacts.sendEnd, Number.POSITIVE_INFINITY);
	contacts.setInstances(['a', 'b', 'c', 'gone']);
	t.is(contacts.sendEnd, Number.POSITIVE_INFINITY);
	contacts.recordFollower('c', 900);
	contacts.recordFollower('b', 1600);
	t.is(contacts.sendEnd, 1500 + sendAfterContactMs);
});

// A step of less than 200 ms is not detected. The leader may ask the store, and be alone, 4500 ms after its contact.
test('a proof ends early enough for a clock step that is too small to be detected', t => {
	const clock = new ManualClock(10_000);
	const proofs = new ContactProofs(clock);
	proofs.record({ageMs: 0, echo: proofs.createStamp()});
	const undetectedMs = 190;
	clock.stepWall(undetectedMs);
	clock.advance(aloneAfterMs - undetectedMs);
	t.is(proofs.find(), undefined);
});

// Each step is too small to be detected, but the monotonic clock has lost more than the allowance by all of them.
test('several small clock steps end a proof', t => {
	const clock = new ManualClock(10_000);
	const proofs = new ContactProofs(clock);
	proofs.record({ageMs: 0, echo: proofs.createStamp()});
	clock.stepWall(150);
	t.truthy(proofs.find());
	clock.stepWall(150);
	t.is(proofs.find(), undefined);
});
