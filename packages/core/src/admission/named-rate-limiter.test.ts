import test from 'ava';
import {NamedRateLimiter} from './named-rate-limiter.js';

/** Starts as many requests as allowed in a span, checking each `stepMs`; returns the times of the starts. */
function startAll(limiter: NamedRateLimiter, fromMs: number, toMs: number, stepMs = 7): number[] {
	const starts: number[] = [];
	for (let now = fromMs; now < toMs; now += stepMs) {
		while (starts.length < 100_000 && limiter.mayStart(now)) {
			limiter.recordStart(now);
			starts.push(now);
			if (!Number.isFinite(limiter.rate(now))) {
				break;
			}
		}
	}

	return starts;
}

function worstWindow(starts: readonly number[], windowMs: number): number {
	return Math.max(0, ...starts.map(start => starts.filter(other => other >= start && other < start + windowMs).length));
}

test('no more requests than the named rate in any window', t => {
	for (const limit of [0.3, 1, 1.7, 4.5, 40]) {
		const limiter = new NamedRateLimiter();
		limiter.setLimit(limit, 0);
		const starts = startAll(limiter, 0, 20_000);
		t.true(worstWindow(starts, 4000) <= (limit * 4) + 1 + (limit * 0.2) + 1e-6, `limit ${limit}`);
		t.true(starts.length >= (limit * 20 * 0.95) - 1, `limit ${limit}: ${starts.length}`);
	}
});

test('the first request waits, since a former sender may have used what was allowed', t => {
	const limiter = new NamedRateLimiter();
	limiter.setLimit(2, 1000);
	t.false(limiter.mayStart(1000));
	t.is(limiter.nextStartAt(1000), 1500);
	t.true(limiter.mayStart(1500));
});

test('a limit that falls applies at once', t => {
	const limiter = new NamedRateLimiter();
	limiter.setLimit(10, 0);
	startAll(limiter, 0, 1000);
	limiter.setLimit(1, 1000);
	t.true(startAll(limiter, 1000, 5000).length <= 6);
});

test('a limit of zero lets single requests through, so that its end is noticed', t => {
	const limiter = new NamedRateLimiter();
	limiter.setLimit(0, 0);
	const starts = startAll(limiter, 0, 20_000);
	t.is(starts.length, 4);
});

test('after the end of a limit the rate rises step by step', t => {
	const limiter = new NamedRateLimiter();
	limiter.setLimit(2, 0);
	startAll(limiter, 0, 2000);
	limiter.setLimit(undefined, 2000);
	t.true(startAll(limiter, 2000, 2500).length <= 4);
	t.true(startAll(limiter, 2500, 4000).length > 4);
	t.true(Number.isFinite(limiter.rate(5999)));
	t.false(Number.isFinite(limiter.rate(6000)));
});

test('a share lowers the rate', t => {
	const limiter = new NamedRateLimiter();
	limiter.setLimit(4, 0);
	limiter.setShare(0.5, 0);
	t.true(startAll(limiter, 0, 4000).length <= 9);
});

test('without a limit every request may start', t => {
	const limiter = new NamedRateLimiter();
	t.true(limiter.mayStart(0));
	limiter.recordStart(0);
	t.true(limiter.mayStart(0));
	t.is(limiter.nextStartAt(0), 0);
});
