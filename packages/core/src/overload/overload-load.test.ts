/**
 * Plays the load of one instance with a fifth of a core: requests and responses wait for CPU time, in simulated time. What
 * callers get within their objective is compared with what the CPU time allows.
 */
import test from 'ava';
import {BusyProcess, type BusyProcessCfg, type BusyProcessResult} from '../mocks/index.js';

/** A third of the requests is urgent. */
const base: Omit<BusyProcessCfg, 'seed'> = {
	durationMs: 30_000,
	cores: 0.203,
	servedMs: 3.5,
	rejectedMs: 0.7,
	load: 1,
	shares: [1 / 3, 2 / 3],
	objectiveMs: 850,
	timeoutMs: 2100,
	workMs: 120,
	returns: 1,
	hasCheck: true,
};

const seeds = [1, 2, 3, 4];

function play(cfg: Partial<BusyProcessCfg>): BusyProcessResult[] {
	return seeds.map(seed => new BusyProcess({...base, ...cfg, seed}).run());
}

function sum(values: readonly number[]): number {
	return values.reduce((total, value) => total + value, 0);
}

/** Returns the share of the callers of one priority, or of all, that were answered within the objective. */
function inTimeShare(results: readonly BusyProcessResult[], priority?: number): number {
	const count = (list: readonly number[]) => priority === undefined ? sum(list) : list[priority];
	return sum(results.map(({inTime}) => count(inTime))) / sum(results.map(({callers}) => count(callers)));
}

/**
 * Returns the largest share of callers that the CPU time allows to serve: each of the others takes the time of a rejection for
 * its first attempt and for each return. With shares of the load, s + (load - s) x (1 + returns) x cost = 1.
 */
function allowedShare(load: number, returns: number): number {
	const {rejectedMs, servedMs} = base;
	const unservedCost = (1 + returns) * rejectedMs / servedMs;
	return Math.min(1, Math.max(0, (1 - (load * unservedCost)) / (1 - unservedCost) / load));
}

// 10,000 requests of one day took over half of their objective to reach a target, and 4,693 ended without having reached one.
for (const [load, returns] of [[1, 1], [1.5, 1], [2, 1], [1.5, 0], [2, 0], [2.5, 0], [3, 0]]) {
	test(`load ${load}, callers come back ${returns} times: what the CPU time allows is served within the objective`, t => {
		const results = play({load, returns});
		const allowed = allowedShare(load, returns);
		const share = inTimeShare(results);
		const [urgent, other] = [inTimeShare(results, 0), inTimeShare(results, 1)];
		t.log(`in time ${share.toFixed(3)} of ${allowed.toFixed(3)}, urgent ${urgent.toFixed(3)}, others ${other.toFixed(3)}`);
		t.true(share >= 0.9 * allowed, `${share} ${allowed}`);
		t.true(urgent >= other, `${urgent} ${other}`);
		t.true(urgent >= 0.25, `${urgent}`);
		t.is(sum(results.map(({dropped}) => dropped)), 0);
	});
}

// From 2.5 times the load on, rejecting each caller twice takes all CPU time, so no bound for the served ones follows from it.
for (const load of [2.5, 3]) {
	test(`load ${load}, callers come back once: nothing that was admitted is dropped`, t => {
		t.is(Math.round(allowedShare(load, 1) * 1e6), 0);
		const results = play({load});
		t.log(`in time ${inTimeShare(results).toFixed(3)}`);
		t.is(sum(results.map(({dropped}) => dropped)), 0);
	});
}

// The failure that the admission check guards against: everything is accepted and waits inside the process.
test('without the check nearly all requests are late at twice the load', t => {
	const results = play({load: 2, hasCheck: false});
	t.log(`in time ${inTimeShare(results).toFixed(3)}`);
	t.true(inTimeShare(results) < 0.1);
	t.true(sum(results.map(({dropped}) => dropped)) > 0);
});

// A smoothed delay that lasts would reject requests although the process has all of its CPU time again. Callers that come back
// together may overload it once more, which is a load and not the freeze; hence none comes back.
test('a process that was frozen for 3 s does not reject for longer than 500 ms after it', t => {
	for (const {rejectedAt} of play({
		load: 0.3, durationMs: 10_000, freezeAt: 5000, returns: 0,
	})) {
		t.true(rejectedAt !== undefined && rejectedAt - 8000 < 500, `${rejectedAt}`);
	}
});

test('at half of the load nothing is rejected', t => {
	t.is(sum(play({load: 0.5}).map(({rejections}) => rejections)), 0);
});
