import test from 'ava';
import {ManualClock, TargetPhase, type TargetInfo} from '@bluebellyard/core';
import {MemoryFeed} from '../mocks/index.js';
import type {OperatorEntry} from '../ports/index.js';
import {Telemetry} from '../telemetry/index.js';
import {View} from '../view/index.js';
import {FeedReader} from './feed-reader.js';

const target: TargetInfo = {
	id: 'i@1', name: 'i', service: 's', addr: '10.0.0.1:1', domain: 'x', slots: 2, phase: TargetPhase.Ready, bornAt: 1, coldLeftMs: 0,
};

function setUp(): {reader: FeedReader; view: View; clock: ManualClock; targets: MemoryFeed<TargetInfo>; operators: MemoryFeed<OperatorEntry>} {
	const clock = new ManualClock(10_000);
	const view = new View();
	const targets = new MemoryFeed<TargetInfo>();
	const operators = new MemoryFeed<OperatorEntry>();
	const reader = new FeedReader({
		operators, targets, view, clock, telemetry: new Telemetry(clock),
	});
	return {
		reader, view, clock, targets, operators,
	};
}

/** Waits until a state is reached; the bound only says that something is broken. */
async function until(condition: () => boolean): Promise<boolean> {
	for (let i = 0; i < 500; i += 1) {
		if (condition()) {
			return true;
		}

		// eslint-disable-next-line no-await-in-loop
		await new Promise(resolve => {
			setTimeout(resolve, 10);
		});
	}

	return false;
}

test('targets come, change and go', async t => {
	const {reader, view, targets} = setUp();
	targets.put('i', target);
	reader.start(false);
	t.true(await until(() => view.targets.has('i@1')));
	targets.put('i', {...target, phase: TargetPhase.Draining});
	t.true(await until(() => view.targets.get('i@1')?.phase === TargetPhase.Draining));
	targets.remove('i');
	t.true(await until(() => view.targets.size === 0));
	reader.stop();
});

test('another life under the same name replaces the former one', async t => {
	const {reader, view, targets} = setUp();
	targets.put('i', target);
	reader.start(false);
	await until(() => view.targets.has('i@1'));
	targets.put('i', {...target, id: 'i@2', bornAt: 2});
	t.true(await until(() => view.targets.has('i@2') && !view.targets.has('i@1')));
	reader.stop();
});

test('what vanished while the store was away has two seconds to come back', async t => {
	const {reader, view, targets, clock} = setUp();
	targets.put('i', target);
	targets.put('j', {...target, id: 'j@1', name: 'j'});
	reader.start(false);
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

test('a target that turned cold again is told', async t => {
	const {reader, view, targets, clock} = setUp();
	targets.put('i', target);
	reader.start(false);
	await until(() => view.targets.has('i@1'));
	targets.put('i', {...target, coldLeftMs: 3000});
	t.true(await until(() => view.targets.get('i@1')?.coldLeftMs === 3000));
	t.is(reader.remainingColdMs('i@1', clock.now()), 3000);
	reader.stop();
});

test('evacuations come and go', async t => {
	const {reader, view, operators} = setUp();
	operators.put('evacuate/x', {kind: 'evacuation', domain: 'x'});
	reader.start(false);
	t.true(await until(() => view.evacuated.has('x')));
	operators.remove('evacuate/x');
	t.true(await until(() => view.evacuated.size === 0));
	reader.stop();
});
