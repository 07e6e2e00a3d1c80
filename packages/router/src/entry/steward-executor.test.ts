import {
	ErrorKind, ManualClock, Repeat, RequestError, RunState, TargetAdmission,
} from '@bluebellyard/core';
import test from 'ava';
import {Counter, MemoryCounters} from '../metrics/index.js';
import {makeAnswer, makeOrder} from '../mocks/orders.js';
import type {Answer, Order} from '../work/index.js';
import {AtMostOnceGuard, StewardExecutor} from './steward-executor.js';

class FakeGuard extends AtMostOnceGuard {
	isStored = true;
	droppedCount = 0;
	storedCount = 0;
	onStored: () => void = () => undefined;

	override getLabel(pool: string, shard: number): string {
		return `${pool}/${shard}`;
	}

	override async waitForFormerIds(): Promise<void> {
		// The ids are known.
	}

	override dropBackup(): void {
		this.droppedCount += 1;
	}

	override async backUp(): Promise<boolean> {
		this.storedCount += 1;
		this.onStored();
		return this.isStored;
	}
}

function setUp() {
	const clock = new ManualClock();
	const counters = new MemoryCounters();
	const guard = new FakeGuard();
	const sent: Order[] = [];
	const target = {
		admission: new TargetAdmission({slots: 1, queue: 1, callerShare: 1}),
		end: async (): Promise<Answer> => makeAnswer('done'),
		isOpen: true,
		checkOpen() {
			if (!this.isOpen) {
				throw new RequestError(ErrorKind.NotSteward);
			}
		},
		async submit(order: Order) {
			sent.push(order);
			return this.end();
		},
	};
	const executors = {get: (name: string) => name === 't' ? target : undefined};
	const executor = new StewardExecutor({
		executors, guard, now: () => clock.now(), counters, backupRenewalIntervalMs: 1,
	});
	return {
		executor, target, sent, guard, counters, clock,
	};
}

const once = {repeat: Repeat.Once, requestId: 'r'};

test('a repeat gets the stored answer and is counted', async t => {
	const {executor, sent, counters} = setUp();
	const first = await executor.handle('t', makeOrder(once));
	t.is(await executor.handle('t', makeOrder(once)), first);
	t.is(sent.length, 1);
	t.is(counters.value(Counter.Replays), 1);
	await t.throwsAsync(executor.handle('t', makeOrder({...once, path: '/other'})), {message: ErrorKind.RequestIdReused});
});

const ends: ReadonlyArray<readonly [end: ErrorKind, repeat: ErrorKind | undefined]> = [
	[ErrorKind.ConnectionLost, ErrorKind.AlreadyRan],
	[ErrorKind.TargetTimeout, ErrorKind.AlreadyRan],
	[ErrorKind.TruncatedAnswer, ErrorKind.AlreadyRan],
	[ErrorKind.CallerDisconnected, ErrorKind.AlreadyRan],
	[ErrorKind.TargetShed, undefined],
	[ErrorKind.ConnectFailed, undefined],
	[ErrorKind.NotEntitled, undefined],
];

for (const [end, repeat] of ends) {
	test(`a repeat after ${end}`, async t => {
		const {executor, target, sent, guard} = setUp();
		target.end = async () => {
			throw new RequestError(end);
		};

		await t.throwsAsync(executor.handle('t', makeOrder(once)), {message: end});
		t.is(guard.droppedCount, repeat === undefined ? 1 : 0);
		target.end = async () => makeAnswer('second');
		const again = executor.handle('t', makeOrder(once));
		if (repeat === undefined) {
			const {body} = await again;
			t.is(String(body), 'second');
		} else {
			await t.throwsAsync(again, {message: repeat});
		}

		t.is(sent.length, repeat === undefined ? 2 : 1);
	});
}

test('a request without a backup of its id is not sent', async t => {
	const {executor, sent, guard} = setUp();
	guard.isStored = false;
	await t.throwsAsync(executor.handle('t', makeOrder(once)), {message: new RegExp(ErrorKind.StewardUnreachable, 'v')});
	guard.isStored = true;
	await executor.handle('t', makeOrder(once));
	t.is(sent.length, 1);
});

test('an order for the target of another steward is refused', async t => {
	const {executor} = setUp();
	await t.throwsAsync(executor.handle('u', makeOrder(once)), {message: ErrorKind.NotSteward});
});

test('an order for a target that is being handed over stores no id', async t => {
	const {executor, target} = setUp();
	target.isOpen = false;
	await t.throwsAsync(executor.handle('t', makeOrder(once)), {message: ErrorKind.NotSteward});
	t.is(executor.ids.size, 0);
});

test('waits for running requests of the given shards only, for a limited time', async t => {
	const {executor, target, guard, clock} = setUp();
	let finishBackup!: (isStored: boolean) => void;
	guard.backUp = async () => new Promise(resolve => {
		finishBackup = resolve;
	});
	const running = executor.handle('t', makeOrder(once));
	await executor.waitUntilIdle(['p/1']);
	const settled = executor.waitUntilIdle(['p/0']);
	finishBackup(true);
	await running;
	await settled;
	t.is(executor.ids.exportShard('p/0', clock.now())[0].state, RunState.Done);
	const second = executor.handle('t', makeOrder({...once, requestId: 's'}));
	const late = executor.waitUntilIdle(['p/0']);
	clock.advance(1000);
	await late;
	t.deepEqual(executor.ids.exportShard('p/0', clock.now()).map(({state}) => state), [RunState.Running, RunState.Done]);
	target.isOpen = false;
	finishBackup(false);
	await t.throwsAsync(second);
});

// The backup counted from the start of the request: when a request ran longer than the ids are
// stored, nobody knew its id once its steward was lost.
test('the backup of a running request is stored again', async t => {
	const {executor, target, guard} = setUp();
	target.end = async () => new Promise(resolve => {
		guard.onStored = () => {
			if (guard.storedCount === 3) {
				resolve(makeAnswer('done'));
			}
		};
	});
	const answer = await executor.handle('t', makeOrder(once));
	t.is(String(answer.body), 'done');
});
