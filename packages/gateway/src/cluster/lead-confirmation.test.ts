import test from 'ava';
import {leaseExpiry, ManualClock} from '@bluebellyard/core';
import {AppendFault, MemoryLog} from '../mocks/index.js';
import {StaleAppendError, UnknownAppendError} from '../ports/index.js';
import {Telemetry} from '../telemetry/index.js';
import {leaderGraceMs} from './former-leaders.js';
import {LastContacts} from './last-contacts.js';
import {contactLimitMs} from './leader-contacts.js';
import {LeadConfirmation, type FollowerPong} from './lead-confirmation.js';
import type {LeaderRecord} from './leader-record.js';
import {OwnerLog} from './owner-log.js';

const topic = 'keyed.bluebellyard-owners';
const timing = {leaseMs: 6000, transitMs: 500};

function leaderRecord(name: string, {era, term}: {era: number; term: number}): LeaderRecord {
	return {
		era, term, name, incarnation: `${name}-1`, formers: [], isRecovering: false,
	};
}

function pong(era: number): FollowerPong {
	return {era, term: 5, incarnation: '1'};
}

/** Leader e0 of term 5, which claimed the lead in era 1 after another leader's record. */
class Harness {
	readonly clock = new ManualClock(100_000);
	readonly store = new MemoryLog();
	readonly ownerLog = new OwnerLog(this.store);
	readonly events: string[] = [];
	confirmation!: LeadConfirmation;

	async start({formers = [], lastContacts, usesContactBound = true}: {formers?: string[]; lastContacts?: LastContacts; usesContactBound?: boolean} = {}): Promise<void> {
		this.store.era = 1;
		await this.writeLeader('e1', {era: 1, term: 4});
		const record = {...leaderRecord('e0', {era: 1, term: 5}), formers};
		await this.ownerLog.claimLead(record, await this.ownerLog.read());
		this.confirmation = new LeadConfirmation({
			record,
			hadLeader: true,
			lastContacts,
			usesContactBound,
			claimedAt: this.clock.now(),
			ownerLog: this.ownerLog,
			clock: this.clock,
			telemetry: new Telemetry(this.clock),
			timing,
			listOtherInstances: async () => ['e1', 'e2'],
			onReload: () => {
				this.events.push('reload');
			},
			onReclaimed: mayRenew => {
				this.events.push(mayRenew ? 'reclaimed' : 'reclaimed without renewals');
			},
			onSuperseded: () => {
				this.events.push('superseded');
			},
		});
		this.clock.advance(2000);
	}

	async writeLeader(name: string, leadership: {era: number; term: number}): Promise<void> {
		await this.store.append(topic, 'leader', JSON.stringify(leaderRecord(name, leadership)));
	}

	/** Asks the store; a failed question is repeated after its delay. */
	async confirm(): Promise<void> {
		await this.confirmation.confirm();
		this.clock.advance(300);
	}
}

async function setUp(): Promise<Harness> {
	const harness = new Harness();
	await harness.start();
	return harness;
}

test('a leader claims the lead again when the store has lost its record', async t => {
	const {confirmation, store, events, ownerLog, ...harness} = await setUp();
	store.returnWithout(topic, 1);
	t.false(confirmation.isInPresentEra);
	await confirmation.confirm();
	t.deepEqual(events, ['reclaimed', 'reload']);
	t.deepEqual(confirmation.leadership, {era: 2, term: 5});
	t.true(confirmation.isWaitingForLostGrants(harness.clock.now()));
	const {leader} = await ownerLog.read();
	t.like(leader, {
		era: 2, term: 5, name: 'e0', isRecovering: true,
	});
	t.deepEqual(leader?.formers, ['e1', 'e2']);
	t.is(confirmation.formerLeaseEnd, leaseExpiry(harness.clock.now() + leaderGraceMs, timing));
});

test('a leader that was not confirmed for a lease renews nothing after it claimed the lead again', async t => {
	const harness = await setUp();
	harness.store.returnWithout(topic, 1);
	harness.clock.advance(timing.leaseMs);
	await harness.confirm();
	t.deepEqual(harness.events, ['reclaimed without renewals', 'reload']);
});

test('a claim of an earlier era that is carried out late does not end the term', async t => {
	const harness = await setUp();
	harness.store.returnWithout(topic, 1);
	await harness.confirm();
	await harness.writeLeader('e1', {era: 1, term: 6});
	harness.clock.advance(1000);
	await harness.confirm();
	t.false(harness.events.includes('superseded'));
	const {leader} = await harness.ownerLog.read();
	t.like(leader, {era: 2, term: 5, name: 'e0'});
});

test('a leader whose record survived the return claims the lead again, too', async t => {
	const {confirmation, store, events} = await setUp();
	store.returnWithout(topic, 0);
	await confirmation.confirm();
	t.deepEqual(events, ['reclaimed', 'reload']);
});

test('a leader that a later one has superseded does not claim the lead after a return', async t => {
	const harness = await setUp();
	harness.store.returnWithout(topic, 0);
	await harness.writeLeader('e1', {era: 2, term: 1});
	await harness.confirm();
	t.deepEqual(harness.events, ['superseded']);
});

test('a claim whose answer is lost is claimed once more', async t => {
	const harness = await setUp();
	harness.store.returnWithout(topic, 1);
	harness.store.faults.push(AppendFault.AnswerLost);
	await harness.confirm();
	t.deepEqual(harness.events, []);
	await harness.confirm();
	t.deepEqual(harness.events, ['reclaimed', 'reload']);
});

test('only instances that follow in the present era end the wait for lost grants', async t => {
	const {confirmation, store, clock} = await setUp();
	store.returnWithout(topic, 1);
	await confirmation.confirm();
	const reclaimedAt = clock.now();
	clock.advance(1000);
	confirmation.recordFollower('e1', pong(1), clock.now());
	confirmation.recordFollower('e2', pong(2), clock.now());
	t.is(confirmation.formerLeaseEnd, leaseExpiry(reclaimedAt + leaderGraceMs, timing));
	confirmation.recordFollower('e1', pong(2), clock.now());
	t.is(confirmation.formerLeaseEnd, leaseExpiry(clock.now(), timing));
});

test('a second return begins the wait for lost grants anew', async t => {
	const {confirmation, store, clock} = await setUp();
	store.returnWithout(topic, 1);
	await confirmation.confirm();
	confirmation.recordFollower('e1', pong(2), clock.now());
	confirmation.recordFollower('e2', pong(2), clock.now());
	clock.advance(3000);
	store.returnWithout(topic, 1);
	await confirmation.confirm();
	t.deepEqual(confirmation.leadership, {era: 3, term: 5});
	t.is(confirmation.formerLeaseEnd, leaseExpiry(clock.now() + leaderGraceMs, timing));
});

test('a write with an unknown outcome does not stop grants, a rejected one does until the store confirms', async t => {
	const harness = await setUp();
	await harness.confirm();
	harness.confirmation.handleFailedWrite(new UnknownAppendError('no answer'));
	t.true(harness.confirmation.mayGrant(harness.clock.now()));
	harness.confirmation.handleFailedWrite(new StaleAppendError('rejected'));
	t.false(harness.confirmation.mayGrant(harness.clock.now()));
	await harness.confirm();
	t.true(harness.confirmation.mayGrant(harness.clock.now()));
	t.deepEqual(harness.events, ['reload']);
});

test('a leader without an answer of the store stops grants after its grace period', async t => {
	const harness = await setUp();
	await harness.confirm();
	harness.store.isDown = true;
	harness.clock.advance(leaderGraceMs - 800);
	await harness.confirm();
	t.true(harness.confirmation.mayGrant(harness.clock.now()));
	harness.clock.advance(400);
	t.false(harness.confirmation.mayGrant(harness.clock.now()));
});

// A later leader in records that the store has lost may have bounded the grants of this one by its contacts.
test('a leader without contacts renews nothing after it claimed the lead again', async t => {
	const harness = await setUp();
	harness.confirmation.recordInstance('e2', 'e2-1');
	await harness.confirm();
	harness.clock.advance(1000);
	t.false(harness.confirmation.mayGrant(harness.clock.now()));
	harness.store.returnWithout(topic, 1);
	await harness.confirm();
	t.deepEqual(harness.events, ['reclaimed without renewals', 'reload']);
	t.is(harness.confirmation.createContactStatement(), undefined);
});

// After a return of the store the former leader may have been confirmed again.
test('the contacts of the last leader count only while the store confirms the present one', async t => {
	const lastContacts = new LastContacts({leader: 'e1', answeredAt: 100_000, absent: []});
	const harness = new Harness();
	await harness.start({formers: ['e1'], lastContacts});
	harness.confirmation.recordRegister(['e1', 'e2']);
	await harness.confirm();
	const longEnd = leaseExpiry(100_000 + leaderGraceMs, timing);
	t.is(harness.confirmation.formerLeaseEnd, longEnd);
	harness.confirmation.recordFollower('e2', pong(1), harness.clock.now());
	t.true(harness.confirmation.formerLeaseEnd < longEnd);
	harness.store.isDown = true;
	harness.clock.advance(2500);
	t.is(harness.confirmation.formerLeaseEnd, longEnd);
});

// The store may have returned from an older copy an instant ago; the confirmation of before says nothing of it.
test('the contacts of the last leader do not count in a later era of the store', async t => {
	const lastContacts = new LastContacts({leader: 'e1', answeredAt: 100_000, absent: []});
	const harness = new Harness();
	await harness.start({formers: ['e1'], lastContacts});
	harness.confirmation.recordRegister([]);
	await harness.confirm();
	const longEnd = leaseExpiry(100_000 + leaderGraceMs, timing);
	t.true(harness.confirmation.formerLeaseEnd < longEnd);
	harness.store.returnWithout(topic, 0);
	t.is(harness.confirmation.formerLeaseEnd, longEnd);
});

// A suspended process takes old answers for new ones if its monotonic clock stood still.
test('after a clock step a confirmation is not enough, a follower must answer a new ping, too', async t => {
	const {confirmation, clock, events} = await setUp();
	confirmation.recordInstance('e2', '1');
	clock.advance(10);
	await confirmation.confirm();
	confirmation.recordFollower('e2', {...pong(1), stamp: 1}, clock.now());
	clock.advance(1000);
	t.true(confirmation.mayGrant(clock.now()));
	confirmation.recordClockStep();
	clock.advance(10);
	await confirmation.confirm();
	t.false(confirmation.isInDoubt);
	t.false(confirmation.mayGrant(clock.now()));
	confirmation.recordFollower('e2', {...pong(1), stamp: 2}, clock.now());
	t.true(confirmation.mayGrant(clock.now()));
	t.deepEqual(events, []);
});

// With the setting off a leader acts as one of an earlier version.
test('without the bound a leader needs no contacts and tells nothing of them', async t => {
	const harness = new Harness();
	await harness.start({usesContactBound: false});
	const {confirmation, clock} = harness;
	confirmation.recordInstance('e2', '1');
	clock.advance(contactLimitMs);
	t.true(confirmation.mayGrant(clock.now()));
	t.is(confirmation.createContactStatement(), undefined);
	clock.advance(100_000 + leaderGraceMs - 1 - clock.now());
	t.true(confirmation.mayGrant(clock.now()));
	clock.advance(1);
	t.false(confirmation.mayGrant(clock.now()));
	await confirmation.confirm();
	confirmation.recordClockStep();
	clock.advance(1000);
	await confirmation.confirm();
	t.true(confirmation.mayGrant(clock.now()));
});

// Without this a removed instance, which never answers a later leader, is not declared absent, and the one after it waits long.
test('instances in the view of the leader before are contacts, and absent if they do not answer', async t => {
	const {confirmation, clock} = await setUp();
	confirmation.recordView([{
		name: 'e2', incarnation: '1', domain: 'x', addr: 'e2:1', cores: 1,
	}]);
	t.false(confirmation.mayGrant(clock.now()));
	clock.advance(2000);
	t.deepEqual(confirmation.createContactStatement()?.absent, ['e2']);
});
