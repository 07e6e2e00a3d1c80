import test from 'ava';
import {ErrorKind} from '../errors/index.js';
import {AdmissionQueue, type QueueDecision} from './admission-queue.js';
import type {QueuedRequest, RequestRefusal} from './queued-request.js';
import {ReservationEvent, Reservations} from './reservations.js';
import {AttemptOutcome} from './target-limiter.js';

let nextId = 0;

function request(now: number, rest: Partial<QueuedRequest> = {}): QueuedRequest {
	nextId += 1;
	return {
		id: String(nextId), priority: 2, objectiveAt: now + 400, deadline: now + 1200, workMs: 100, returnKey: `key ${nextId}`, ...rest,
	};
}

function makeReservations(): {reservations: Reservations; events: ReservationEvent[]} {
	const events: ReservationEvent[] = [];
	const reservations = new Reservations(event => {
		events.push(event);
	});
	reservations.setEnabled(true);
	return {reservations, events};
}

function reject(reservations: Reservations, rejected: QueuedRequest, now: number, waiting: QueuedRequest[] = []): RequestRefusal {
	return reservations.reject(rejected, ErrorKind.DeadlineTooClose, {
		neededMs: 2000, waiting, capacity: 1, now,
	});
}

/** Returns a queue of one slot with one running request, and requests that wait until rejections begin. */
function makeBusyQueue(isEnabled: boolean): {queue: AdmissionQueue; running: QueueDecision; rejected: RequestRefusal[]} {
	const queue = new AdmissionQueue();
	queue.reservations.setEnabled(isEnabled);
	queue.setTarget({id: 'a', slots: 1, coldRate: 5});
	const running = queue.offer(request(0), 0);
	const rejected: RequestRefusal[] = [];
	for (let now = 1; now < 40; now += 1) {
		rejected.push(...queue.offer(request(now), now).refusals);
	}

	return {queue, running, rejected};
}

// A caller comes back after a third of its remaining time at most, so that a later reservation would never be used.
test('a rejected caller is told a time within a third of its remaining time, and its reservation is used once', t => {
	const {reservations, events} = makeReservations();
	const rejected = request(0);
	const {retryAfterMs, isReserved} = reject(reservations, rejected, 0);
	t.is(retryAfterMs, 400);
	t.true(isReserved);
	t.false(reservations.claim({...rejected, id: 'other', returnKey: 'other'}, 400));
	t.true(reservations.claim({...rejected, id: 'again', deadline: 1203}, 410));
	t.false(reservations.claim({...rejected, id: 'again-2'}, 410));
	t.deepEqual(events, [ReservationEvent.Made, ReservationEvent.Used]);
});

// A new request for the same path must not take the reservation of another caller.
test('a request with another deadline does not use a reservation', t => {
	const {reservations} = makeReservations();
	const rejected = request(0);
	reject(reservations, rejected, 0);
	t.false(reservations.claim({...rejected, id: 'new', deadline: 1500}, 300));
});

test('an unused reservation expires shortly after its start', t => {
	const {reservations, events} = makeReservations();
	const rejected = request(0);
	reject(reservations, rejected, 0);
	t.is(reservations.expectedWorkMs(2), 50);
	reservations.expire(650);
	t.is(reservations.expectedWorkMs(2), 50);
	reservations.expire(651);
	t.is(reservations.expectedWorkMs(2), 0);
	t.false(reservations.claim(rejected, 651));
	t.deepEqual(events, [ReservationEvent.Made, ReservationEvent.Expired]);
});

// Reserving more than can be done before the deadlines would reject callers again that were told otherwise.
test('no more is reserved than the capacity allows', t => {
	const {reservations} = makeReservations();
	const results = Array.from({length: 20}, () => reject(reservations, request(0), 0));
	const reserved = results.filter(({isReserved}) => isReserved === true).length;
	// Half of the reservations are expected to be used.
	t.is(reserved, 16);
	t.true(results.at(-1)!.retryAfterMs >= 1200);
	const waiting = Array.from({length: 16}, () => request(0, {isReserved: true}));
	t.false(reject(makeReservations().reservations, request(0), 0, waiting).isReserved);
});

// Reservations of less urgent requests would keep more urgent ones away.
test('the work of less urgent reservations is not ahead of a more urgent request', t => {
	const {reservations} = makeReservations();
	reject(reservations, request(0, {priority: 2}), 0);
	t.is(reservations.expectedWorkMs(1), 0);
	t.is(reservations.expectedWorkMs(2), 50);
});

test('nothing is reserved when too little time is left, without a return key, or while turned off', t => {
	const {reservations, events} = makeReservations();
	t.false(reject(reservations, request(0, {deadline: 149}), 0).isReserved);
	t.false(reject(reservations, request(0, {returnKey: undefined}), 0).isReserved);
	t.false(reject(reservations, request(0, {hasReturned: true}), 0).isReserved);
	const rejected = request(0);
	reject(reservations, rejected, 0);
	reservations.setEnabled(false);
	t.false(reservations.claim(rejected, 400));
	t.is(reject(reservations, request(0), 0).isReserved, undefined);
	t.deepEqual(events, [ReservationEvent.Made]);
});

// With the part turned off, every decision must be as it was without it.
test('a queue without reservations tells no reservation and admits no caller that comes back', t => {
	const {queue, rejected} = makeBusyQueue(false);
	t.true(rejected.length > 0);
	t.true(rejected.every(({isReserved}) => isReserved === undefined));
	const again = {...rejected[0].request, id: 'again', objectiveAt: -100};
	t.is(queue.offer(again, 400).refusals.length, 1);
});

// Callers that honoured the time that they were told were rejected again, as later arrivals had taken the capacity.
test('a caller with a reservation is served before later arrivals make it miss its deadline', t => {
	const {queue, running, rejected} = makeBusyQueue(true);
	const {request: first} = rejected.find(({isReserved}) => isReserved === true)!;
	// It was rejected before 40 ms and told to come back after 400 ms.
	const returnAt = 500;
	let {starts: [current]} = running;
	const started: string[] = [];
	for (let now = 100; now <= 1200; now += 100) {
		const decisions = [queue.finish(current.limiter, AttemptOutcome.Answered, 1, now)];
		if (now === returnAt) {
			decisions.push(queue.offer({...first, id: 'again'}, now));
		}

		decisions.push(queue.offer(request(now), now), queue.offer(request(now), now));
		t.false(decisions.some(({refusals}) => refusals.some(({request: {id}}) => id === 'again')));
		const starts = decisions.flatMap(decision => decision.starts);
		current = starts.at(-1) ?? current;
		started.push(...starts.map(({request: {id}}) => id));
	}

	t.true(started.includes('again'));
});
