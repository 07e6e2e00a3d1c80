import test from 'ava';
import {SlotLimiter, SlotQueueFull} from './slot-limiter.js';

test('the limit is kept and waiting callers get slots in order', async t => {
	const limiter = new SlotLimiter({slots: 1, queue: 2});
	const release = await limiter.acquire();
	const order: number[] = [];
	const first = limiter.acquire().then(releaseSlot => {
		order.push(1);
		releaseSlot();
	});
	const second = limiter.acquire().then(releaseSlot => {
		order.push(2);
		releaseSlot();
	});
	t.is(limiter.waiting, 2);
	await t.throwsAsync(limiter.acquire(), {instanceOf: SlotQueueFull});
	release();
	release();
	await Promise.all([first, second]);
	t.deepEqual(order, [1, 2]);
	t.is(limiter.inFlight, 0);
});

test('an aborted caller leaves the queue', async t => {
	const limiter = new SlotLimiter({slots: 1, queue: 1});
	const release = await limiter.acquire();
	const abort = new AbortController();
	const waiting = limiter.acquire(abort.signal);
	abort.abort(new Error('gone'));
	await t.throwsAsync(waiting, {message: 'gone'});
	release();
	t.is(limiter.inFlight, 0);
	await t.throwsAsync(limiter.acquire(abort.signal), {message: 'gone'});
});

test('a changed limit takes effect', async t => {
	const limiter = new SlotLimiter({slots: 0, queue: 1});
	t.is(limiter.tryAcquire(), undefined);
	const waiting = limiter.acquire();
	limiter.setSlots(1);
	await waiting;
	t.is(limiter.inFlight, 1);
});
