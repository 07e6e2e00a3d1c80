/**
 * A return of the store from an older copy may lose the entry of an instance. A later leader that does not know the
 * instance then sends it no view.
 */
import test from 'ava';
import {ManualClock} from '@bluebellyard/core';
import {MemoryLog} from '../mocks/index.js';
import {Telemetry} from '../telemetry/index.js';
import type {NodeInfo} from '../view/index.js';
import {Directory} from './directory.js';
import {Registration} from './registration.js';

const self: NodeInfo = {
	name: 'e0', incarnation: 'e0-1', domain: 'x', addr: 'e0:1', cores: 1,
};

/** An instance that is registered in era 1. */
class Harness {
	readonly clock = new ManualClock(100_000);
	readonly log = new MemoryLog();
	readonly directory = new Directory(this.log);
	readonly registration = new Registration({
		self, directory: this.directory, clock: this.clock, random: () => 0.5, telemetry: new Telemetry(this.clock),
	});

	/** Era that the instance knows of. */
	era: number | undefined = 1;

	async start(): Promise<void> {
		this.log.era = 1;
		await this.registration.register();
	}

	/** Loses the entry of the instance, which sees the new era. */
	returnFromCopy(): void {
		this.log.clear();
		this.log.era += 1;
		this.era = this.log.era;
	}

	async run(ms: number): Promise<void> {
		for (let passed = 0; passed < ms; passed += 100) {
			this.registration.announceAgain(this.era);
			// eslint-disable-next-line no-await-in-loop
			await new Promise(resolve => {
				setImmediate(resolve);
			});
			this.clock.advance(100);
		}
	}
}

async function setUp(): Promise<Harness> {
	const harness = new Harness();
	await harness.start();
	return harness;
}

test('an entry that a return of the store lost is written again', async t => {
	const harness = await setUp();
	harness.returnFromCopy();
	await harness.run(6000);
	t.deepEqual(await harness.directory.list(), [self]);
});

test('the entry is written once for each return', async t => {
	const harness = await setUp();
	await harness.run(10_000);
	t.is(harness.log.appends, 1);
	harness.returnFromCopy();
	await harness.run(20_000);
	t.is(harness.log.appends, 2);
	harness.returnFromCopy();
	await harness.run(20_000);
	t.is(harness.log.appends, 3);
});

test('the instances of a deployment do not all write at once', async t => {
	const harness = await setUp();
	harness.returnFromCopy();
	await harness.run(1000);
	t.is(harness.log.appends, 1);
});

test('a failed write is tried again', async t => {
	const harness = await setUp();
	harness.returnFromCopy();
	harness.log.isDown = true;
	await harness.run(10_000);
	harness.log.isDown = false;
	await harness.run(6000);
	t.deepEqual(await harness.directory.list(), [self]);
});

test('an instance that is not registered yet leaves that to its start', async t => {
	const harness = new Harness();
	harness.log.era = 2;
	harness.era = 2;
	await harness.run(10_000);
	t.is(harness.log.appends, 0);
});

test('an instance that starts while the store is away registers once it is back', async t => {
	const harness = new Harness();
	harness.log.isDown = true;
	const registered = harness.registration.register();
	await new Promise(resolve => {
		setImmediate(resolve);
	});
	harness.log.isDown = false;
	t.deepEqual(await registered, [self]);
});

test('a stopped instance gives up its first entry', async t => {
	const harness = new Harness();
	harness.log.isDown = true;
	const registered = harness.registration.register();
	harness.registration.stop();
	t.deepEqual(await registered, []);
});
