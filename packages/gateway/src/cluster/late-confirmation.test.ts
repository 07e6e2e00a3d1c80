/**
 * After a freeze, another instance may lead. An answer of the store to a question from before the freeze says
 * nothing about that, so a leader that acts on it grants keys beside the present leader.
 */
import test from 'ava';
import {AppendFault, LeaderHarness} from '../mocks/index.js';

/** Time in which each grant is renewed at least once, in milliseconds. */
const renewalMs = 3500;

async function setUp(): Promise<LeaderHarness> {
	const harness = new LeaderHarness();
	await harness.start();
	return harness;
}

test('an answer to a question from before a freeze does not confirm the leader', async t => {
	const harness = await setUp();
	await harness.runUntilHeld('end');
	await harness.freeze();
	harness.log.releaseOne();
	await harness.run(renewalMs);
	t.is(harness.grantCount, 0);
	harness.log.releaseAll();
	await harness.run(renewalMs);
	t.true(harness.grantCount > 0);
});

test('an answer to a write from before a freeze does not confirm the leader', async t => {
	const harness = await setUp();
	harness.moveKeys();
	await harness.runUntilHeld('append');
	await harness.freeze();
	harness.log.releaseOne();
	await harness.run(renewalMs);
	t.is(harness.grantCount, 0);
	harness.log.releaseAll();
	await harness.run(renewalMs);
	t.true(harness.grantCount > 0);
});

test('an answer to a reading of the owners from before a freeze does not confirm the leader', async t => {
	const harness = await setUp();
	harness.log.faults.push(AppendFault.Refused);
	harness.moveKeys();
	await harness.runUntilHeld('list');
	await harness.freeze();
	harness.log.releaseOne();
	await harness.run(renewalMs);
	t.is(harness.grantCount, 0);
	harness.log.releaseAll();
	await harness.run(renewalMs);
	t.true(harness.grantCount > 0);
});

test('a leader that was replaced during a freeze grants nothing after it', async t => {
	const harness = await setUp();
	await harness.runUntilHeld('end');
	await harness.replaceLeader();
	await harness.freeze();
	harness.log.releaseOne();
	await harness.run(renewalMs);
	t.is(harness.grantCount, 0);
	harness.log.releaseAll();
	await harness.run(renewalMs);
	t.is(harness.grantCount, 0);
	t.true(harness.isSuperseded);
});
