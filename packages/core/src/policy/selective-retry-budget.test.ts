import test from 'ava';
import fc from 'fast-check';
import {RetryBudget} from './retry-budget.js';
import {RetryDecision, SelectiveRetryBudget} from './selective-retry-budget.js';

const steps = fc.array(fc.record({
	elapsed: fc.nat(600), requests: fc.nat(12), isLastChance: fc.boolean(), priority: fc.nat(3),
}), {maxLength: 300});
const cfgs = fc.record({share: fc.constantFrom(0, 0.15), perSecond: fc.constantFrom(0, 0.1, 0.6, 20), burst: fc.constantFrom(1, 1.1, 5.6, 40)});

// A budget that anticipates scarcity would deny retries which the deployment could afford.
test('retry budget: all retries are granted until the plain budget denies one', t => {
	fc.assert(fc.property(cfgs, steps, (cfg, load) => {
		const plain = new RetryBudget(cfg);
		const selective = new SelectiveRetryBudget(cfg);
		let now = 0;
		let isGranted = true;
		for (const {elapsed, requests, ...candidate} of load) {
			now += elapsed;
			for (let n = 0; n < requests; n += 1) {
				plain.deposit(now);
				selective.deposit(now);
			}

			isGranted &&= plain.tryWithdraw(now);
			const decision = selective.decide(candidate, now);
			t.true(!isGranted || decision === RetryDecision.Granted);
			t.true(!isGranted || !selective.isScarce);
		}
	}), {seed: 11, numRuns: 400});
});

// The bound holds for the service as a whole, so a selection must not spend retries before they are earned.
test('retry budget: grants stay within share, rate and burst in any window', t => {
	fc.assert(fc.property(cfgs, steps, (cfg, load) => {
		const budget = new SelectiveRetryBudget(cfg);
		const events: Array<{now: number; requests: number; retries: number}> = [];
		let now = 0;
		for (const {elapsed, requests, ...candidate} of load) {
			now += elapsed;
			for (let n = 0; n < requests; n += 1) {
				budget.deposit(now);
			}

			events.push({now, requests, retries: budget.decide(candidate, now) === RetryDecision.Granted ? 1 : 0});
		}

		for (let from = 0; from < events.length; from += 7) {
			let requests = 0;
			let retries = 0;
			for (const event of events.slice(from)) {
				requests += event.requests;
				retries += event.retries;
				t.true(retries <= cfg.burst + (requests * cfg.share) + ((event.now - events[from].now) * cfg.perSecond / 1000) + 1e-6);
			}
		}
	}), {seed: 12, numRuns: 100});
});

/** Offers each candidate in turn every 20 ms for 20 s, with half as many requests as candidates per step beside. Returns the share of each that was granted. */
function grantShares(candidates: ReadonlyArray<{isLastChance: boolean; priority: number}>): number[] {
	const budget = new SelectiveRetryBudget({share: 0.15, perSecond: 0.5, burst: 5});
	const granted = candidates.map(() => 0);
	for (let n = 0; n < 1000; n += 1) {
		budget.deposit(n * 20);
		budget.deposit(n * 20);
		for (const [i, candidate] of candidates.entries()) {
			granted[i] += budget.decide(candidate, (n * 20) + i) === RetryDecision.Granted ? 1 : 0;
		}
	}

	return granted.map(count => count / 1000);
}

// Retries went to whichever request failed first, also where the caller could retry itself.
test('retry budget: a scarce budget goes to requests that would fail for good', t => {
	const [first, last] = grantShares([{isLastChance: false, priority: 1}, {isLastChance: true, priority: 1}]);
	t.true(last > first * 3, `${last} ${first}`);
});

test('retry budget: of requests that would fail for good, more urgent ones get more retries', t => {
	const [less, more] = grantShares([{isLastChance: true, priority: 2}, {isLastChance: true, priority: 1}]);
	t.true(more > less * 1.2, `${more} ${less}`);
});

// Where nothing tells which callers have retried, a preference would only move retries from one priority to another.
test('retry budget: without requests that would fail for good, it is spent as a plain budget', t => {
	fc.assert(fc.property(cfgs, steps, (cfg, load) => {
		const plain = new RetryBudget(cfg);
		const selective = new SelectiveRetryBudget(cfg);
		let now = 0;
		for (const {elapsed, requests, priority} of load) {
			now += elapsed;
			for (let n = 0; n < requests; n += 1) {
				plain.deposit(now);
				selective.deposit(now);
			}

			t.is(selective.decide({isLastChance: false, priority}, now) === RetryDecision.Granted, plain.tryWithdraw(now));
		}
	}), {seed: 13, numRuns: 100});
});

// After an outage, the selection must not go on denying retries that the budget can afford.
test('retry budget: it is no longer scarce once it is full and few requests fail', t => {
	const budget = new SelectiveRetryBudget({share: 0.15, perSecond: 1, burst: 2});
	for (let n = 0; n < 10; n += 1) {
		budget.deposit(n);
		budget.decide({isLastChance: false, priority: 1}, n);
	}

	t.true(budget.isScarce);
	budget.deposit(8000);
	t.false(budget.isScarce);
	t.is(budget.decide({isLastChance: false, priority: 1}, 8000), RetryDecision.Granted);
});

// Without income there is no rate to compare with; the decision must still be one.
test('retry budget: without any income the burst is granted and the rest denied', t => {
	const budget = new SelectiveRetryBudget({share: 0, perSecond: 0, burst: 2});
	const decisions = [1, 2, 3, 4].map(now => budget.decide({isLastChance: now % 2 === 0, priority: 1}, now));
	t.deepEqual(decisions, [RetryDecision.Granted, RetryDecision.Granted, RetryDecision.Exhausted, RetryDecision.Exhausted]);
});
