/** Guards against a follower that relies on a leader which does not know the newest configuration, and against views that its own reading spoils. */
import test, {type ExecutionContext} from 'ava';
import {ManualClock, TargetPhase, type TargetInfo} from '@bluebellyard/core';
import {createConfig, createConfiguredView} from '../mocks/create-config.js';
import {until} from '../mocks/feed-harness.js';
import {MemoryFeed} from '../mocks/memory-feed.js';
import type {OperatorEntry} from '../ports/index.js';
import {noBytes} from '../peers/index.js';
import {Telemetry} from '../telemetry/index.js';
import {View} from '../view/index.js';
import {FollowedView} from './followed-view.js';
import {packDelta, type Ping} from './messages.js';

/** Age above which an instance reads the operators' records, and that above which it also reads those of targets, with some time more. */
const staleMs = 1400;
const staleTargetsMs = 1700;

type Harness = {
	readonly clock: ManualClock;
	readonly view: View;
	readonly followed: FollowedView;
	readonly leaderView: View;
	/** Sends the leader's view, whole or nothing of it, with the ages that it states. */
	readonly ping: (ages: Partial<Ping>, isWhole?: boolean) => Promise<void>;
};

function target(name: string, domain = 'x'): TargetInfo {
	return {
		id: `${name}@1`, name, service: 's', addr: name, domain, slots: 2, phase: TargetPhase.Ready, bornAt: 1, coldLeftMs: 0, recordSeq: 1,
	};
}

function usableNames(view: View): string[] {
	return [...view.targets.values()].filter(info => view.isUsable(info)).map(({name}) => name);
}

/** A follower of a leader that has version 1 and seven targets; in the store there are version 2, an evacuated domain, one target that is draining and one that is missing. */
async function setUp(t: ExecutionContext, view = new View()): Promise<Harness> {
	const clock = new ManualClock(10_000);
	const operators = new MemoryFeed<OperatorEntry>();
	operators.put('config', {kind: 'config', config: createConfig(2)});
	operators.put('evacuate/z', {kind: 'evacuation', domain: 'z'});
	const leaderView = createConfiguredView();
	for (const name of ['a', 'b', 'c', 'd', 'e', 'f', 'gone']) {
		leaderView.store.set(`target/${name}@1`, target(name));
	}

	const targets = new MemoryFeed<TargetInfo>();
	targets.put('a', {...target('a'), phase: TargetPhase.Draining, recordSeq: 2});
	targets.put('b', target('b'));
	for (const name of ['c', 'd', 'e', 'f']) {
		targets.put(name, target(name));
	}

	const followed = new FollowedView({
		view, operators, targets, clock, telemetry: new Telemetry(clock),
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
	followed.tick(undefined);
	t.true(await hasVersion(view, 2));
	t.true(followed.configAge.ms < staleMs);
});

test('a follower reads the store when the leader is heard but has not read the operators\' records', async t => {
	const {clock, view, followed, ping} = await setUp(t);
	await ping({configAgeMs: 0}, true);
	clock.advance(staleMs);
	await ping({configAgeMs: staleMs});
	followed.tick(undefined);
	t.true(await hasVersion(view, 2));
});

test('a ping whose changes do not apply here says nothing of this configuration', async t => {
	const {clock, view, followed, leaderView, ping} = await setUp(t);
	await ping({configAgeMs: 0}, true);
	clock.advance(staleMs);
	leaderView.setConfig(createConfig(2));
	await ping({configAgeMs: 0, base: undefined});
	followed.tick(undefined);
	t.true(await hasVersion(view, 2));
});

test('a follower does not read the store while the leader confirms the configuration', async t => {
	const {clock, view, followed, ping} = await setUp(t);
	await ping({configAgeMs: 0}, true);
	for (let i = 0; i < 10; i += 1) {
		clock.advance(staleMs / 2);
		// eslint-disable-next-line no-await-in-loop
		await ping({configAgeMs: 300});
		followed.tick(undefined);
	}

	t.false(followed.isReading);
	t.is(view.configVersion, 1);
});

test('a leader of an earlier version, which states no age, suffices while it reaches the store', async t => {
	const {clock, followed, ping} = await setUp(t);
	await ping({storeAgeMs: 200}, true);
	clock.advance(staleMs);
	await ping({storeAgeMs: 200});
	followed.tick(undefined);
	t.false(followed.isReading);
});

test('the next changes of the leader apply after a reading of the store, which ends with them', async t => {
	const {clock, view, followed, leaderView, ping} = await setUp(t);
	await ping({configAgeMs: 0}, true);
	clock.advance(staleMs);
	followed.tick(undefined);
	t.true(await hasVersion(view, 2));
	const former = {leader: 'e1-1', term: 1, seq: leaderView.store.lastSeq};
	t.deepEqual(followed.replica.state, former);
	leaderView.setConfig(createConfig(3));
	await ping({configAgeMs: 0, base: former}, true);
	followed.tick(undefined);
	t.is(view.configVersion, 3);
	t.false(followed.isReading);
	t.deepEqual([...view.configRows().keys()].toSorted(), [...leaderView.configRows().keys()].toSorted());
});

test('an instance without any configuration leaves the first one to an election', async t => {
	const {clock, view, followed} = await setUp(t);
	clock.advance(staleMs);
	followed.tick(undefined);
	t.false(followed.isReading);
	t.is(view.configVersion, undefined);
});

test('a target that is draining or has no entry gets no work once the follower has read that', async t => {
	const {clock, view, followed, ping} = await setUp(t);
	await ping({configAgeMs: 0}, true);
	t.is(usableNames(view).length, 7);
	clock.advance(staleTargetsMs);
	followed.tick(undefined);
	t.true(await until(() => usableNames(view).length === 5));
	t.deepEqual(usableNames(view), ['b', 'c', 'd', 'e', 'f']);
});

test('what a follower has read stays in effect until its leader has read it, too', async t => {
	const {clock, view, followed, ping} = await setUp(t);
	await ping({configAgeMs: 0}, true);
	clock.advance(staleTargetsMs);
	followed.tick(undefined);
	t.true(await until(() => usableNames(view).length === 5 && view.direct.evacuated.has('z')));
	clock.advance(100);
	await ping({configAgeMs: 300, targetsAgeMs: 300, recordsAgeMs: 300});
	followed.tick(undefined);
	t.false(followed.isReading);
	t.is(usableNames(view).length, 5);
	clock.advance(300);
	// A leader that has been elected meanwhile and has not read the records.
	await ping({configAgeMs: 100, targetsAgeMs: 0});
	followed.tick(undefined);
	t.is(usableNames(view).length, 5);
	await ping({configAgeMs: 100, targetsAgeMs: 100, recordsAgeMs: 100});
	followed.tick(undefined);
	t.is(usableNames(view).length, 7);
	t.is(view.direct.evacuated.size, 0);
});

test('targets whose entries may have expired in an outage stay in use', async t => {
	const {clock, view, followed, leaderView, ping} = await setUp(t);
	for (const name of ['g', 'h', 'i']) {
		leaderView.store.set(`target/${name}@1`, target(name));
	}

	await ping({configAgeMs: 0}, true);
	clock.advance(staleTargetsMs);
	followed.tick(undefined);
	t.true(await until(() => view.direct.left.size > 0));
	t.deepEqual([...view.direct.left], ['a@1']);
});

test('a record of a store that returned from an older copy does not end the work of a target', async t => {
	const {clock, view, followed, leaderView, ping} = await setUp(t);
	leaderView.store.set('target/a@1', {...target('a'), recordSeq: 3});
	await ping({configAgeMs: 0}, true);
	clock.advance(staleTargetsMs);
	followed.tick(undefined);
	t.true(await until(() => view.direct.left.size > 0));
	t.deepEqual([...view.direct.left], ['gone@1']);
});

test('an instance that reads the store for a view of its own reads it once', async t => {
	const {clock, followed, ping} = await setUp(t);
	await ping({configAgeMs: 0}, true);
	clock.advance(staleTargetsMs);
	followed.tick(undefined);
	t.true(followed.isReading);
	followed.tick(clock.now());
	t.false(followed.isReading);
});
