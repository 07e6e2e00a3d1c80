import test from 'ava';
import {seededRandom} from '../random/index.js';
import {RequestAgeEstimator} from './request-age-estimator.js';
import {AttemptOutcome} from './target-limiter.js';
import {AdmissionQueue, type QueuedRequest} from './admission-queue.js';

test('nothing is known at first', t => {
	t.is(new RequestAgeEstimator().estimate('r', 100), 0);
});

test('a repeat is as old as the time that it lost', t => {
	const ages = new RequestAgeEstimator();
	for (let n = 0; n < 64; n += 1) {
		ages.estimate('r', 1000 + ((n % 8) * 20));
	}

	t.is(ages.estimate('r', 1050), 0);
	t.true(ages.estimate('r', 400) > 400);
	t.is(ages.estimate('other', 400), 0);
});

test('one very patient caller does not make the others old', t => {
	const ages = new RequestAgeEstimator();
	for (let n = 0; n < 127; n += 1) {
		ages.estimate('r', n === 5 ? 60_000 : 1000);
	}

	t.is(ages.estimate('r', 1000), 0);
});

const workMs = 100;
const objectiveMs = 300;
const patienceMs = 1000;

type Pending = {readonly item: QueuedRequest; readonly firstAt: number};

/** Offers 1.4 times what one target can do, at random; who is refused comes back twice. Answers how many were answered in time. */
function playOverload(knowsAge: boolean): {inTime: number; served: number} {
	const random = seededRandom(11);

	const gate = new AdmissionQueue();
	gate.setTarget({id: 'a', slots: 2, coldRate: 5});
	const ages = new RequestAgeEstimator();
	const pending = new Map<string, Pending>();
	const returns: Array<{readonly at: number; readonly firstAt: number}> = [];
	const running: Array<{readonly endsAt: number; readonly item: QueuedRequest; readonly end: () => ReturnType<AdmissionQueue['finish']>}> = [];
	const result = {inTime: 0, served: 0};
	let id = 0;
	const follow = (step: ReturnType<AdmissionQueue['tick']>, now: number) => {
		for (const {request: item, retryAfterMs} of step.refusals) {
			const {firstAt} = pending.get(item.id)!;
			pending.delete(item.id);
			const at = now + Math.max(50, Math.min(Math.round(retryAfterMs), Math.floor((firstAt + patienceMs - now) / 3)));
			if (at + workMs < firstAt + patienceMs) {
				returns.push({at, firstAt});
			}
		}

		for (const {request: item, limiter: lane} of step.starts) {
			const tookMs = Math.round(workMs * (0.4 + (random() * 1.2)));
			running.push({endsAt: now + tookMs, item, end: () => gate.finish(lane, AttemptOutcome.Answered, tookMs / workMs, now + tookMs)});
		}
	};

	const offer = (now: number, firstAt: number) => {
		id += 1;
		const left = firstAt + patienceMs - now;
		const age = knowsAge ? ages.estimate('r', left) : 0;
		const item: QueuedRequest = {
			id: String(id), priority: 1, objectiveAt: now + objectiveMs - age, deadline: firstAt + patienceMs, workMs,
		};
		pending.set(item.id, {item, firstAt});
		follow(gate.offer(item, now), now);
	};

	for (let now = 0; now < 20_000; now += 1) {
		for (const ended of running.filter(row => row.endsAt === now)) {
			running.splice(running.indexOf(ended), 1);
			const {firstAt} = pending.get(ended.item.id)!;
			result.served += 1;
			result.inTime += now - firstAt <= objectiveMs ? 1 : 0;
			follow(ended.end(), now);
		}

		for (const back of returns.filter(row => row.at === now)) {
			offer(now, back.firstAt);
		}

		if (random() < 0.028) {
			offer(now, now);
		}

		if (now % 50 === 0) {
			follow(gate.tick(now), now);
		}
	}

	return result;
}

test('load: under overload with repeats more callers are answered in time', t => {
	const blind = playOverload(false);
	const knowing = playOverload(true);
	t.true(knowing.inTime > blind.inTime * 1.2, `${knowing.inTime} and ${blind.inTime} in time`);
	t.true(knowing.served > blind.served * 0.97, `${knowing.served} and ${blind.served} served`);
});
