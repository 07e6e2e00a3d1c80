import test from 'ava';
import {LagMeter, lagTickMs} from './lag-meter.js';

/** Calls the timer on time until `endMs`. Returns the end. */
function tickUntil(meter: LagMeter, now: number, endMs: number): number {
	let time = now;
	while (time + lagTickMs <= endMs) {
		time += lagTickMs;
		meter.tick(time);
	}

	return time;
}

test('a timer that is called on time shows no delay', t => {
	const meter = new LagMeter(0);
	t.is(meter.delayMs(tickUntil(meter, 0, 1000)), 0);
});

// A mean that rises slowly would admit requests for several ticks, each of which is as long as the delay.
test('a late call raises the delay at once', t => {
	const meter = new LagMeter(0);
	meter.tick(lagTickMs + 300);
	t.is(meter.delayMs(lagTickMs + 300), 300);
});

// Many requests are read in one turn of the event loop, in which the timer is not called.
test('an overdue call counts before it is made', t => {
	const meter = new LagMeter(0);
	t.is(meter.delayMs(lagTickMs + 150), 150);
});

// Under overload single turns of the event loop are short; the delay must not vanish with the first of them.
test('the delay falls slowly', t => {
	const meter = new LagMeter(0);
	meter.tick(lagTickMs + 300);
	const now = tickUntil(meter, lagTickMs + 300, lagTickMs + 400);
	t.true(meter.delayMs(now) > 50);
});

// A process that was frozen would reject requests although it has all of its CPU time again.
test('a freeze counts as one second at most and is gone after 500 ms', t => {
	const meter = new LagMeter(0);
	t.is(meter.delayMs(3000), 1000);
	meter.tick(3000);
	const now = tickUntil(meter, 3000, 3500);
	t.true(meter.delayMs(now) < 10, `${meter.delayMs(now)}`);
});
