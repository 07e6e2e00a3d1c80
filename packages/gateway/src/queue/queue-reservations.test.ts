/** Guards against reservations that the host of a queue does not tell, recognize or count. */
import {setTimeout as sleep} from 'node:timers/promises';
import test from 'ava';
import {ErrorKind, ManualClock, TargetPhase} from '@bluebellyard/core';
import {CrashGuard} from '../dispatch/crash-guard.js';
import type {FailedResult, Order, OrderResult} from '../dispatch/order.js';
import {usualOrder} from '../mocks/index.js';
import {Telemetry} from '../telemetry/index.js';
import {sharedQueueId, targetQueueId, View} from '../view/index.js';
import {DispatchQueues} from './dispatch-queues.js';

const ignore = () => undefined;

/** Number of orders that are offered while the only slot is in use; more than can wait until their deadlines. */
const orderCount = 40;

/** Offers orders 1 ms apart to the queue of one slot that never becomes free. Returns what the queue did. */
async function overload({isSharded, isReserving}: {isSharded: boolean; isReserving: boolean}) {
	const view = new View();
	const clock = new ManualClock();
	const telemetry = new Telemetry(clock);
	const queueId = isSharded ? targetQueueId('t') : sharedQueueId('s', 'x');
	view.store.set('service/s', {name: 's', isSharded, coldRate: 5});
	view.store.set('target/t', {
		id: 't', name: 't', service: 's', addr: 't:1', domain: 'x', slots: 1, phase: TargetPhase.Ready, bornAt: 1, coldLeftMs: 0,
	});
	view.store.set(`steward/${queueId}`, 'e1');
	const queues = new DispatchQueues({
		selfName: 'e1',
		view,
		clock,
		telemetry,
		client: {send: async () => new Promise(ignore)},
		paths: {isReleased: false, watch: () => ({onStart: ignore, onResponse: ignore, end: ignore}), settle: async () => false},
		hasLeaderContact: () => true,
		isReserving: () => isReserving,
		onNotOwner: ignore,
		onLeaving: ignore,
		isRefused: async () => false,
		onCrash: ignore,
		onAlive: ignore,
		guard: new CrashGuard(view, clock),
	});
	const results = new Map<Order, OrderResult>();
	const abort = new AbortController();
	const run = async (order: Order) => {
		void queues.run(queueId, order, abort.signal).then(result => {
			results.set(order, result);
		});
		await sleep(1);
	};

	for (let i = 0; i < orderCount; i += 1) {
		clock.advance(1);
		const now = clock.now();
		// eslint-disable-next-line no-await-in-loop
		await run({
			...usualOrder, requestId: `r${i}`, path: `/${i}`, key: i, arrivedAt: now, objectiveAt: now + 500, deadline: now + 2000,
		});
	}

	const rejected = [...results].filter((row): row is [Order, FailedResult] => row[1].kind === 'failure');
	return {
		rejected, results, run, clock, abort, count: async () => telemetry.metrics.registry.getSingleMetricAsString('bluebellyard_reservations_total'),
	};
}

test('a rejection tells a reservation, and the caller that comes back waits instead of being rejected', async t => {
	const {
		rejected, results, run, clock, abort, count,
	} = await overload({isSharded: true, isReserving: true});
	t.teardown(() => {
		abort.abort();
	});
	const reserved = rejected.filter(([, {isReserved}]) => isReserved === true);
	t.true(reserved.length > 0);
	t.true(rejected.every(([, {error, isReserved}]) => error === ErrorKind.DeadlineTooClose && isReserved !== undefined));
	const [order, {retryAfterMs}] = reserved[0];
	t.true(retryAfterMs <= 667);
	clock.advance(retryAfterMs);
	const again = {
		...order, requestId: 'again', arrivedAt: clock.now(), objectiveAt: order.objectiveAt, deadline: order.deadline + 5,
	};
	await run(again);
	t.false(results.has(again));
	t.regex(await count(), new RegExp(String.raw`result="made"\} ${reserved.length}$`, 'mv'));
	t.regex(await count(), /result="used"\} 1$/mv);
});

// A caller of a shared service may come back to the queue of another domain; with `off`, nothing may change.
test('queues of shared services and queues with the setting off reserve nothing', async t => {
	for (const cfg of [{isSharded: false, isReserving: true}, {isSharded: true, isReserving: false}]) {
		// eslint-disable-next-line no-await-in-loop
		const {rejected, abort} = await overload(cfg);
		t.true(rejected.length > 0);
		t.true(rejected.every(([, result]) => !Object.hasOwn(result, 'isReserved')));
		abort.abort();
	}
});
