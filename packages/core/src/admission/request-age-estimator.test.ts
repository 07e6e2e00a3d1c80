import test from 'ava';
import {seededRandom} from '../random/index.js';
import {RequestAgeEstimator} from './request-age-estimator.js';
import {AttemptOutcome} from './target-limiter.js';
import {AdmissionQueue} from './admission-queue.js';
import type {QueuedRequest} from './queued-request.js';

test('the first request of a route has age 0', t => {
	t.is(new RequestAgeEstimator().estimate('r', 100), 0);
});

test('the age of a retry is the time it already waited', t => {
	const ages = new RequestAgeEstimator();
	for (let n = 0; n < 64; n += 1) {
		ages.estimate('r', 1000 + ((n % 8) * 20));
	}

	t.is(ages.estimate('r', 1050), 0);
	t.true(ages.estimate('r', 400) > 400);
	t.is(ages.estimate('other', 400), 0);
});

// A caller that is told 100 ms comes back with over 85% of a timeout of 1200 ms left, so that its retry had age 0.
test('a caller that comes back after a short delay is recognized', t => {
	const ages = new RequestAgeEstimator();
	t.false(ages.isRetry('r', 1200));
	for (let n = 0; n < 64; n += 1) {
		ages.estimate('r', 1200);
	}

	t.is(ages.estimate('r', 1095), 0);
	t.true(ages.isRetry('r', 1095));
	t.false(ages.isRetry('r', 1200));
	t.false(ages.isRetry('r', 1160));
});

test('one caller with a very long timeout does not make the others count as retries', t => {
	const ages = new RequestAgeEstimator();
	for (let n = 0; n < 127; n += 1) {
		ages.estimate('r', n === 5 ? 60_000 : 1000);
	}

	t.is(ages.estimate('r', 1000), 0);
});

const workMs = 100;
const objectiveMs = 300;
const callerTimeoutMs = 1000;

type Pending = {readonly request: QueuedRequest; readonly firstAt: number};

/** Offers 1.4 times the capacity of one target at random times, with refused requests retried while time is left. Returns how many were served, and how many of them in time. */
function simulateOverload(usesAge: boolean): {inTime: number; served: number} {
	const random = seededRandom(11);

	const queue = new AdmissionQueue();
	queue.setTarget({id: 'a', slots: 2, coldRate: 5});
	const ages = new RequestAgeEstimator();
	const pending = new Map<string, Pending>();
	const retries: Array<{readonly at: number; readonly firstAt: number}> = [];
	const running: Array<{readonly endsAt: number; readonly request: QueuedRequest; readonly end: () => ReturnType<AdmissionQueue['finish']>}> = [];
	const result = {inTime: 0, served: 0};
	let id = 0;
	const apply = (decision: ReturnType<AdmissionQueue['tick']>, now: number) => {
		for (const {request, retryAfterMs} of decision.refusals) {
			const {firstAt} = pending.get(request.id)!;
			pending.delete(request.id);
			const at = now + Math.max(50, Math.min(Math.round(retryAfterMs), Math.floor((firstAt + callerTimeoutMs - now) / 3)));
			if (at + workMs < firstAt + callerTimeoutMs) {
				retries.push({at, firstAt});
			}
		}

		for (const {request, limiter} of decision.starts) {
			const tookMs = Math.round(workMs * (0.4 + (random() * 1.2)));
			running.push({endsAt: now + tookMs, request, end: () => queue.finish(limiter, AttemptOutcome.Answered, tookMs / workMs, now + tookMs)});
		}
	};

	const offer = (now: number, firstAt: number) => {
		id += 1;
		const left = firstAt + callerTimeoutMs - now;
		const age = usesAge ? ages.estimate('r', left) : 0;
		const request: QueuedRequest = {
			id: String(id), priority: 1, objectiveAt: now + objectiveMs - age, deadline: firstAt + callerTimeoutMs, workMs,
		};
		pending.set(request.id, {request, firstAt});
		apply(queue.offer(request, now), now);
	};

	for (let now = 0; now < 20_000; now += 1) {
		for (const ended of running.filter(row => row.endsAt === now)) {
			running.splice(running.indexOf(ended), 1);
			const {firstAt} = pending.get(ended.request.id)!;
			result.served += 1;
			result.inTime += now - firstAt <= objectiveMs ? 1 : 0;
			apply(ended.end(), now);
		}

		for (const retry of retries.filter(row => row.at === now)) {
			offer(now, retry.firstAt);
		}

		if (random() < 0.028) {
			offer(now, now);
		}

		if (now % 50 === 0) {
			apply(queue.tick(now), now);
		}
	}

	return result;
}

test('load: under overload with retries more callers are answered in time', t => {
	const withoutAge = simulateOverload(false);
	const withAge = simulateOverload(true);
	t.true(withAge.inTime > withoutAge.inTime * 1.2, `${withAge.inTime} and ${withoutAge.inTime} in time`);
	t.true(withAge.served > withoutAge.served * 0.97, `${withAge.served} and ${withoutAge.served} served`);
});
