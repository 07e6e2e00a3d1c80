import {
	ErrorKind, ManualClock, Repeat, RequestError, RunState, TargetAdmission,
} from '@bluebellyard/core';
import test from 'ava';
import {Counter, MemoryCounters} from '../metrics/index.js';
import {makeAnswer, makeOrder} from '../mocks/orders.js';
import type {Answer, Order} from '../work/index.js';
import {AtMostOnceGuard, StewardQueue} from './steward-queue.js';

class FakeGuard extends AtMostOnceGuard {
	isKept = true;
	released = 0;

	override getLabel(pool: string, shard: number): string {
		return `${pool}/${shard}`;
	}

	override async waitForFormerIds(): Promise<void> {
		// The ids are known.
	}

	override dropBackup(): void {
		this.released += 1;
	}

	override async backUp(): Promise<boolean> {
		return this.isKept;
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
	const work = {get: (name: string) => name === 't' ? target : undefined};
	const desk = new StewardQueue(work, guard, () => clock.now(), counters);
	return {
		desk, target, sent, guard, counters, clock,
	};
}

const once = {repeat: Repeat.Once, requestId: 'r'};

test('a repeat gets the kept answer and is counted', async t => {
	const {desk, sent, counters} = setUp();
	const first = await desk.handle('t', makeOrder(once));
	t.is(await desk.handle('t', makeOrder(once)), first);
	t.is(sent.length, 1);
	t.is(counters.value(Counter.Replays), 1);
	await t.throwsAsync(desk.handle('t', makeOrder({...once, path: '/other'})), {message: ErrorKind.RequestIdReused});
});

const ends: ReadonlyArray<readonly [end: ErrorKind, repeat: ErrorKind | undefined]> = [
	[ErrorKind.ConnectionLost, ErrorKind.AlreadyRan],
	[ErrorKind.TargetTimeout, ErrorKind.AlreadyRan],
	[ErrorKind.TruncatedAnswer, ErrorKind.AlreadyRan],
	[ErrorKind.CallerGone, ErrorKind.AlreadyRan],
	[ErrorKind.TargetShed, undefined],
	[ErrorKind.ConnectFailed, undefined],
	[ErrorKind.NotEntitled, undefined],
];

for (const [end, repeat] of ends) {
	test(`a repeat after ${end}`, async t => {
		const {desk, target, sent, guard} = setUp();
		target.end = async () => {
			throw new RequestError(end);
		};

		await t.throwsAsync(desk.handle('t', makeOrder(once)), {message: end});
		t.is(guard.released, repeat === undefined ? 1 : 0);
		target.end = async () => makeAnswer('second');
		const again = desk.handle('t', makeOrder(once));
		if (repeat === undefined) {
			const {body} = await again;
			t.is(String(body), 'second');
		} else {
			await t.throwsAsync(again, {message: repeat});
		}

		t.is(sent.length, repeat === undefined ? 2 : 1);
	});
}

test('nothing is sent whose id nobody else keeps', async t => {
	const {desk, sent, guard} = setUp();
	guard.isKept = false;
	await t.throwsAsync(desk.handle('t', makeOrder(once)), {message: new RegExp(ErrorKind.StewardUnreachable, 'v')});
	guard.isKept = true;
	await desk.handle('t', makeOrder(once));
	t.is(sent.length, 1);
});

test('an order for the target of another steward is refused', async t => {
	const {desk} = setUp();
	await t.throwsAsync(desk.handle('u', makeOrder(once)), {message: ErrorKind.NotSteward});
});

test('an order for a target that is handed over leaves no id behind', async t => {
	const {desk, target} = setUp();
	target.isOpen = false;
	await t.throwsAsync(desk.handle('t', makeOrder(once)), {message: ErrorKind.NotSteward});
	t.is(desk.ids.size, 0);
});

test('requests that are about to end are waited for, others are not', async t => {
	const {desk, target, guard, clock} = setUp();
	let keep!: (isKept: boolean) => void;
	guard.backUp = async () => new Promise(resolve => {
		keep = resolve;
	});
	const running = desk.handle('t', makeOrder(once));
	await desk.waitUntilIdle(['p/1']);
	const settled = desk.waitUntilIdle(['p/0']);
	keep(true);
	await running;
	await settled;
	t.is(desk.ids.exportShard('p/0', clock.now())[0].state, RunState.Done);
	const second = desk.handle('t', makeOrder({...once, requestId: 's'}));
	const late = desk.waitUntilIdle(['p/0']);
	clock.advance(1000);
	await late;
	t.deepEqual(desk.ids.exportShard('p/0', clock.now()).map(({state}) => state), [RunState.Running, RunState.Done]);
	target.isOpen = false;
	keep(false);
	await t.throwsAsync(second);
});
