/** Guards against a follower that relies on a leader which does not know the newest configuration, and against views that its own reading spoils. */
import test, {type ExecutionContext} from 'ava';
import {ManualClock} from '@bluebellyard/core';
import {createConfig, createConfiguredView} from '../mocks/create-config.js';
import {until} from '../mocks/feed-harness.js';
import {MemoryFeed} from '../mocks/memory-feed.js';
import type {OperatorEntry} from '../ports/index.js';
import {noBytes} from '../peers/index.js';
import {Telemetry} from '../telemetry/index.js';
import {View} from '../view/index.js';
import {FollowedView} from './followed-view.js';
import {packDelta, type Ping} from './messages.js';

/** Age above which an instance reads the store, and some time more. */
const staleMs = 1400;

type Harness = {
	readonly clock: ManualClock;
	readonly view: View;
	readonly followed: FollowedView;
	readonly leaderView: View;
	/** Sends the leader's view, whole or nothing of it, with the ages that it states. */
	readonly ping: (ages: Partial<Ping>, isWhole?: boolean) => Promise<void>;
};

/** A follower of a leader that has version 1, while the store has version 2. */
async function setUp(t: ExecutionContext, view = new View()): Promise<Harness> {
	const clock = new ManualClock(10_000);
	const operators = new MemoryFeed<OperatorEntry>();
	operators.put('config', {kind: 'config', config: createConfig(2)});
	const leaderView = createConfiguredView();
	const followed = new FollowedView({
		view, operators, clock, telemetry: new Telemetry(clock),
	});
	t.teardown(() => {
		followed.stop();
	});
	const ping = async (ages: Partial<Ping>, isWhole = false) => {
		const seq = leaderView.store.lastSeq;
		const state = {leader: 'e1-1', term: 1, seq};
		followed.receive({
			era: 0,
			term: 1,
			leader: {
				name: 'e1', incarnation: 'e1-1', domain: 'x', addr: 'e1', cores: 1,
			},
			storeAgeMs: 0,
			targetsAgeMs: 0,
			formerEndsMs: {},
			base: isWhole ? undefined : state,
			seq,
			...ages,
		}, isWhole ? await packDelta(leaderView.store.deltaSince(-1)) : noBytes);
	};

	return {
		clock, view, followed, leaderView, ping,
	};
}

async function hasVersion(view: View, version: number): Promise<boolean> {
	return until(() => view.configVersion === version);
}

test('a follower reads the store when the leader is silent', async t => {
	const {clock, view, followed, ping} = await setUp(t);
	await ping({configAgeMs: 0}, true);
	clock.advance(staleMs);
	followed.tick(true);
	t.true(await hasVersion(view, 2));
	t.true(followed.configAge.ms < staleMs);
});

test('a follower reads the store when the leader is heard but has not read the operators\' records', async t => {
	const {clock, view, followed, ping} = await setUp(t);
	await ping({configAgeMs: 0}, true);
	clock.advance(staleMs);
	await ping({configAgeMs: staleMs});
	followed.tick(true);
	t.true(await hasVersion(view, 2));
});

test('a ping whose changes do not apply here says nothing of this configuration', async t => {
	const {clock, view, followed, leaderView, ping} = await setUp(t);
	await ping({configAgeMs: 0}, true);
	clock.advance(staleMs);
	leaderView.setConfig(createConfig(2));
	await ping({configAgeMs: 0, base: undefined});
	followed.tick(true);
	t.true(await hasVersion(view, 2));
});

test('a follower does not read the store while the leader confirms the configuration', async t => {
	const {clock, view, followed, ping} = await setUp(t);
	await ping({configAgeMs: 0}, true);
	for (let i = 0; i < 10; i += 1) {
		clock.advance(staleMs / 2);
		// eslint-disable-next-line no-await-in-loop
		await ping({configAgeMs: 300});
		followed.tick(true);
	}

	t.false(followed.isReading);
	t.is(view.configVersion, 1);
});

test('a leader of an earlier version, which states no age, suffices while it reaches the store', async t => {
	const {clock, followed, ping} = await setUp(t);
	await ping({storeAgeMs: 200}, true);
	clock.advance(staleMs);
	await ping({storeAgeMs: 200});
	followed.tick(true);
	t.false(followed.isReading);
});

test('the next changes of the leader apply after a reading of the store, which ends with them', async t => {
	const {clock, view, followed, leaderView, ping} = await setUp(t);
	await ping({configAgeMs: 0}, true);
	clock.advance(staleMs);
	followed.tick(true);
	t.true(await hasVersion(view, 2));
	const former = {leader: 'e1-1', term: 1, seq: leaderView.store.lastSeq};
	t.deepEqual(followed.replica.state, former);
	leaderView.setConfig(createConfig(3));
	await ping({configAgeMs: 0, base: former}, true);
	followed.tick(true);
	t.is(view.configVersion, 3);
	t.false(followed.isReading);
	t.deepEqual([...view.configRows().keys()].toSorted(), [...leaderView.configRows().keys()].toSorted());
});

test('an instance without any configuration leaves the first one to an election', async t => {
	const {clock, view, followed} = await setUp(t);
	clock.advance(staleMs);
	followed.tick(true);
	t.false(followed.isReading);
	t.is(view.configVersion, undefined);
});
