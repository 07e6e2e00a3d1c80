/**
 * A store that returns from an older copy has records of targets that these have replaced or deleted since. A target
 * that is draining or has left would get work again if such a record counted.
 */
import test, {type ExecutionContext} from 'ava';
import {TargetPhase, type TargetInfo} from '@bluebellyard/core';
import {feedTarget, FeedHarness, until} from '../mocks/index.js';
import type {View} from '../view/index.js';

const target: TargetInfo = {...feedTarget, recordSeq: 3};
const draining: TargetInfo = {...target, phase: TargetPhase.Draining, recordSeq: 4};

/** Starts a reader in era 1 on the given target, and waits until it is applied. */
async function start(t: ExecutionContext, first: TargetInfo, view?: View): Promise<FeedHarness> {
	const harness = new FeedHarness(view);
	const {reader, targets, operators} = harness;
	targets.era = 1;
	operators.era = 1;
	targets.put(first.name, first);
	reader.start();
	t.teardown(() => {
		reader.stop();
	});
	t.true(await until(() => targets.listings === 1));
	return harness;
}

/** Replaces the targets' records by those of a copy with the given one, and waits until they are read. */
async function returnWith({targets}: FeedHarness, row: TargetInfo): Promise<void> {
	const {listings} = targets;
	targets.returnFromCopy(new Map([[row.name, row]]));
	await until(() => targets.listings > listings);
}

test('a draining target is not ready again because a copy of the store has its older record', async t => {
	const harness = await start(t, target);
	const {view, targets} = harness;
	targets.put('i', draining);
	t.true(await until(() => view.targets.get('i@1')?.phase === TargetPhase.Draining));
	await returnWith(harness, target);
	t.is(view.targets.get('i@1')?.phase, TargetPhase.Draining);
	targets.put('i', {...target, recordSeq: 5});
	t.true(await until(() => view.targets.get('i@1')?.phase === TargetPhase.Ready));
});

test('a target that left does not return because a copy of the store has its last record', async t => {
	const harness = await start(t, target);
	const {view, targets} = harness;
	targets.remove('i');
	t.true(await until(() => view.targets.size === 0));
	await returnWith(harness, target);
	t.is(view.targets.size, 0);
	targets.put('i', {...target, recordSeq: 4});
	t.true(await until(() => view.targets.has('i@1')));
});

test('a target that left does not return with an earlier record than its last heartbeat', async t => {
	const harness = await start(t, target);
	const {view, targets} = harness;
	targets.put('i', {...target, recordSeq: 9});
	targets.put('j', {...target, id: 'j@1', name: 'j'});
	t.true(await until(() => view.targets.size === 2));
	targets.remove('i');
	t.true(await until(() => view.targets.size === 1));
	await returnWith(harness, {...target, recordSeq: 8});
	t.false(view.targets.has('i@1'));
});

test('a new leader ignores the last record of a target that left under the former leader', async t => {
	const former = await start(t, target);
	former.targets.remove('i');
	t.true(await until(() => former.view.targets.size === 0));
	former.reader.stop();
	const {view, targets} = await start(t, target, former.view);
	t.is(view.targets.size, 0);
	targets.put('i', {...target, recordSeq: 4});
	t.true(await until(() => view.targets.has('i@1')));
});

test('a new leader ignores an older record of a target that is draining', async t => {
	const former = await start(t, draining);
	former.reader.stop();
	const {view} = await start(t, target, former.view);
	t.is(view.targets.get('i@1')?.phase, TargetPhase.Draining);
});

test('a record of a process that a later one replaced is ignored in a copy', async t => {
	const harness = await start(t, {
		...target, id: 'i@2', bornAt: 2, recordSeq: 1,
	});
	const {view, targets} = harness;
	await returnWith(harness, {...target, recordSeq: 30});
	t.deepEqual([...view.targets.keys()], ['i@2']);
	// A clock that was set back may give a later process an earlier start; what it writes after the return counts.
	targets.put('i', {...target, recordSeq: 31});
	t.true(await until(() => view.targets.has('i@1')));
});

test('a process that a later one of its target replaced does not count as having left', async t => {
	const {view, targets} = await start(t, target);
	targets.put('i', {
		...target, id: 'i@2', bornAt: 2, recordSeq: 1,
	});
	t.true(await until(() => view.targets.has('i@2')));
	t.is(view.store.get('left/i'), undefined);
	targets.remove('i');
	t.true(await until(() => view.targets.size === 0));
	t.like(view.store.get('left/i'), {id: 'i@2', recordSeq: 1});
});

test('a target that left is forgotten after some minutes', async t => {
	const {view, targets, clock} = await start(t, target);
	targets.remove('i');
	t.true(await until(() => view.store.get('left/i') !== undefined));
	clock.advance(301_000);
	t.true(await until(() => view.store.get('left/i') === undefined));
});

test('a target that did not write its entry again in time returns with its next record', async t => {
	const harness = await start(t, target);
	const {view, targets, clock} = harness;
	targets.returnFromCopy(new Map());
	t.true(await until(() => targets.listings === 2));
	clock.advance(2100);
	t.true(await until(() => view.targets.size === 0));
	targets.put('i', target);
	t.true(await until(() => view.targets.has('i@1')));
});

test('a heartbeat of a target does not change the view', async t => {
	const {view, targets} = await start(t, target);
	t.true(await until(() => view.targets.has('i@1')));
	const seq = view.store.lastSeq;
	targets.put('i', {...target, recordSeq: 4});
	targets.put('j', {...target, id: 'j@1', name: 'j'});
	t.true(await until(() => view.targets.has('j@1')));
	t.is(view.store.lastSeq, seq + 1);
});

test('records without a number always count', async t => {
	const unnumbered = {...feedTarget, recordSeq: undefined};
	const harness = await start(t, unnumbered);
	const {view, targets} = harness;
	targets.remove('i');
	t.true(await until(() => view.targets.size === 0));
	targets.put('i', unnumbered);
	t.true(await until(() => view.targets.has('i@1')));
});
