import test from 'ava';
import {ManualClock} from '../clock/index.js';
import {StopSchedule} from './stop-schedule.js';

const graceMs = 6000;

function createSchedule(workMs = 100): {readonly clock: ManualClock; readonly stop: StopSchedule} {
	const clock = new ManualClock();
	return {clock, stop: new StopSchedule(clock, () => workMs)};
}

function createRequest(deadline: number, isOnce: boolean) {
	return {
		route: 'r', objectiveMs: 500, deadline, isOnce,
	};
}

test('before a stop every request can be answered, with its own deadline', t => {
	const {stop} = createSchedule();
	t.true(stop.canAnswer(createRequest(1e9, true)));
	t.is(stop.limitDeadline(1e9), 1e9);
	t.is(stop.endsAt, Number.POSITIVE_INFINITY);
});

test('a request that must run once needs all of its time before the end of a stop', t => {
	const {clock, stop} = createSchedule();
	stop.begin(graceMs);
	const now = clock.now();
	t.true(stop.canAnswer(createRequest(now + 2000, true)));
	t.false(stop.canAnswer(createRequest(now + graceMs, true)));
	t.true(stop.endsAt < now + graceMs);
});

test('a request that may be repeated needs the tail of its route before the end of a stop', t => {
	const {clock, stop} = createSchedule(400);
	stop.begin(graceMs);
	const request = createRequest(clock.now() + 60_000, false);
	t.true(stop.canAnswer(request));
	clock.advance(3000);
	t.false(stop.canAnswer(request));
});

test('a deadline ends before a stop does', t => {
	const {clock, stop} = createSchedule();
	stop.begin(graceMs);
	t.true(stop.limitDeadline(clock.now() + 60_000) < stop.endsAt);
	t.is(stop.limitDeadline(clock.now() + 100), clock.now() + 100);
});

test('a request with a deadline that a stop has moved is not passed on without the time for its work', t => {
	const {clock, stop} = createSchedule(400);
	stop.begin(graceMs);
	const deadline = stop.limitDeadline(clock.now() + 60_000);
	t.true(stop.canAnswer(createRequest(deadline, false)));
	clock.advance(5000);
	t.false(stop.canAnswer(createRequest(deadline, false)));
});
