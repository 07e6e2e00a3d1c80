import test from 'ava';
import {TargetPhase} from '@bluebellyard/core';
import {feedTarget as target, FeedHarness, until} from '../mocks/index.js';
import {View} from '../view/index.js';

test('targets are added, changed and removed', async t => {
	const {reader, view, targets} = new FeedHarness();
	targets.put('i', target);
	reader.start();
	t.true(await until(() => view.targets.has('i@1')));
	targets.put('i', {...target, phase: TargetPhase.Draining});
	t.true(await until(() => view.targets.get('i@1')?.phase === TargetPhase.Draining));
	targets.remove('i');
	t.true(await until(() => view.targets.size === 0));
	reader.stop();
});

test('a new incarnation of a target replaces the former one', async t => {
	const {reader, view, targets} = new FeedHarness();
	targets.put('i', target);
	reader.start();
	await until(() => view.targets.has('i@1'));
	targets.put('i', {...target, id: 'i@2', bornAt: 2});
	t.true(await until(() => view.targets.has('i@2') && !view.targets.has('i@1')));
	reader.stop();
});

test('a target whose entry expired in an outage of the store has two seconds to write it again', async t => {
	const {reader, view, targets, clock} = new FeedHarness();
	targets.put('i', target);
	targets.put('j', {...target, id: 'j@1', name: 'j'});
	reader.start();
	await until(() => view.targets.size === 2);
	targets.isDown = true;
	clock.advance(5000);
	targets.remove('i');
	targets.remove('j');
	targets.isDown = false;
	clock.advance(100);
	t.true(await until(() => clock.now() - reader.lastReadAt < 50));
	t.is(view.targets.size, 2);
	targets.put('j', {...target, id: 'j@1', name: 'j'});
	clock.advance(2500);
	t.true(await until(() => view.targets.size === 1));
	t.true(view.targets.has('j@1'));
	reader.stop();
});

function createFormerView(): View {
	const view = new View();
	view.store.set('target/i@1', target);
	view.store.set('target/j@1', {...target, id: 'j@1', name: 'j'});
	return view;
}

// The store turned the former leader away for less than two heartbeats, in which no entry expires: the missing target has left.
test('a target that left while the former leader could not read is removed at once', async t => {
	const {reader, targets, clock, view} = new FeedHarness(createFormerView());
	targets.put('j', {...target, id: 'j@1', name: 'j'});
	reader.start(clock.now() - 1500);
	t.true(await until(() => view.targets.size === 1));
	t.true(view.targets.has('j@1'));
	reader.stop();
});

// However long the former leader could not read: an outage in which entries expire affects most targets.
test('a single target that is missing after a long time without reads is removed at once', async t => {
	const {reader, targets, clock, view} = new FeedHarness(createFormerView());
	for (const name of ['j', 'k', 'l', 'm']) {
		view.store.set(`target/${name}@1`, {...target, id: `${name}@1`, name});
		targets.put(name, {...target, id: `${name}@1`, name});
	}

	reader.start(clock.now() - 4000);
	t.true(await until(() => view.targets.size === 4));
	t.false(view.targets.has('i@1'));
	reader.stop();
});

test('a target that is missing after an outage that the former leader noticed has time to write its entry again', async t => {
	const {reader, targets, clock, view} = new FeedHarness(createFormerView());
	targets.put('j', {...target, id: 'j@1', name: 'j'});
	reader.start(clock.now() - 2000);
	t.true(await until(() => clock.now() === reader.lastReadAt));
	clock.advance(1900);
	t.true(await until(() => clock.now() === reader.lastReadAt));
	t.is(view.targets.size, 2);
	targets.put('i', target);
	clock.advance(500);
	t.true(await until(() => clock.now() === reader.lastReadAt));
	t.is(view.targets.size, 2);
	reader.stop();
});

test('a target that becomes cold again is updated in the view', async t => {
	const {reader, view, targets, clock} = new FeedHarness();
	targets.put('i', target);
	reader.start();
	await until(() => view.targets.has('i@1'));
	targets.put('i', {...target, coldLeftMs: 3000});
	t.true(await until(() => view.targets.get('i@1')?.coldLeftMs === 3000));
	t.is(reader.remainingColdMs('i@1', clock.now()), 3000);
	reader.stop();
});

test('evacuations are applied and withdrawn', async t => {
	const {reader, view, operators} = new FeedHarness();
	operators.put('evacuate/x', {kind: 'evacuation', domain: 'x'});
	reader.start();
	t.true(await until(() => view.evacuated.has('x')));
	operators.remove('evacuate/x');
	t.true(await until(() => view.evacuated.size === 0));
	reader.stop();
});
