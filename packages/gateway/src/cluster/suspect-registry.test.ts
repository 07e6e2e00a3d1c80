import test from 'ava';
import {ManualClock, TrialOutcome} from '@bluebellyard/core';
import {AppendFault, MemoryLog} from '../mocks/index.js';
import {Telemetry} from '../telemetry/index.js';
import {View} from '../view/index.js';
import {PeerOp} from './messages.js';
import {SuspectLog, suspectTopic} from './suspect-log.js';
import {SuspectRegistry} from './suspect-registry.js';

/** Time after which stored suspects are read again, in milliseconds. */
const readIntervalMs = 5000;

class Harness {
	readonly clock = new ManualClock(1000);
	readonly view = new View();
	changes = 0;
	readonly registry: SuspectRegistry;

	constructor(readonly log = new MemoryLog()) {
		this.registry = new SuspectRegistry({
			view: this.view, suspectLog: new SuspectLog(log), clock: this.clock, telemetry: new Telemetry(this.clock), onChange: () => {
				this.changes += 1;
			},
		});
	}

	crash(target: string, ...fingerprints: string[]): void {
		this.registry.handle(PeerOp.Crash, {
			target, service: 's', version: 'v1', fingerprints,
		});
	}

	async tick(): Promise<void> {
		this.registry.tick(this.clock.now());
		// The calls of the memory log resolve without timers.
		await new Promise(resolve => {
			setImmediate(resolve);
		});
	}

	async stored(): Promise<string[]> {
		const {suspects} = await new SuspectLog(this.log).list();
		return [...suspects.keys()];
	}
}

test('suspects are published, those with repeated crashes stored, cleared ones deleted', async t => {
	const harness = new Harness();
	await harness.tick();
	harness.crash('a', '0.x', '0.y');
	harness.crash('b', '0.x', '0.z');
	await harness.tick();
	t.deepEqual([...harness.view.suspects.keys()], ['0.x', '0.y', '0.z']);
	t.deepEqual(await harness.stored(), ['0.x']);
	harness.registry.handle(PeerOp.TrialEnd, {print: '0.x', outcome: TrialOutcome.Answered});
	await harness.tick();
	t.deepEqual(await harness.stored(), []);
	t.false(harness.view.suspects.has('0.x'));
});

test('a registry begins with what is stored, and a refused write is repeated', async t => {
	const first = new Harness();
	await first.tick();
	first.log.faults.push(AppendFault.Refused);
	first.crash('a', '0.x');
	first.crash('b', '0.x');
	await first.tick();
	t.deepEqual(await first.stored(), []);
	first.clock.advance(1001);
	await first.tick();
	t.deepEqual(await first.stored(), ['0.x']);
	const second = new Harness(first.log);
	await second.registry.load();
	t.true(second.view.suspects.get('0.x')?.isQuarantined);
});

test('a deleted record releases a request, a record that the store lost does not', async t => {
	const harness = new Harness();
	await harness.tick();
	harness.crash('a', '0.x');
	harness.crash('b', '0.x');
	await harness.tick();
	harness.log.returnWithout(suspectTopic, 1);
	harness.clock.advance(readIntervalMs);
	await harness.tick();
	t.true(harness.view.suspects.has('0.x'));
	t.deepEqual(await harness.stored(), ['0.x']);
	await harness.log.append(suspectTopic, '0.x', '');
	harness.clock.advance(readIntervalMs);
	await harness.tick();
	t.false(harness.view.suspects.has('0.x'));
});

test('a register that was stopped leaves the view as it is', async t => {
	const harness = new Harness();
	harness.crash('a', '0.x');
	const loading = harness.registry.load();
	harness.registry.stop();
	harness.view.store.set('suspect/0.other', harness.view.suspects.get('0.x'));
	await loading;
	t.deepEqual([...harness.view.suspects.keys()], ['0.x', '0.other']);
});

test('nothing is written and nothing read again while no request is suspected', async t => {
	const harness = new Harness();
	await harness.tick();
	harness.log.isDown = true;
	harness.clock.advance(readIntervalMs);
	await harness.tick();
	t.is(harness.log.appends, 0);
	t.is(harness.changes, 0);
});
