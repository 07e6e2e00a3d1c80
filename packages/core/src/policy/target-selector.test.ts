import test from 'ava';
import fc from 'fast-check';
import {xoroshiro128plus} from 'pure-rand/generator/xoroshiro128plus';
import {
	LeastInFlight, PowerOfTwo, RoundRobin, Availability, type Candidate,
} from './target-selector.js';
import {LoadTable} from './load-table.js';

function candidate(name: string, rest: Partial<Candidate> = {}): Candidate {
	return {
		name, availability: Availability.Available, load: 0, limit: 4, ...rest,
	};
}

const choosers = [
	() => new PowerOfTwo(xoroshiro128plus(1)),
	() => new LeastInFlight(xoroshiro128plus(1)),
	() => new RoundRobin(),
];

const open = candidate('open');
const full = candidate('full', {load: 9});
const slow = candidate('slow', {availability: Availability.SetAside});
const closed = candidate('closed', {availability: Availability.Unavailable});

const cases: Array<[string, Candidate[], string | undefined, string | undefined]> = [
	['nobody', [], undefined, undefined],
	['only closed', [closed], undefined, undefined],
	['closed left out', [closed, open], undefined, 'open'],
	['except', [open, full], 'open', 'full'],
	['except is better than nobody', [open, closed], 'open', 'open'],
	['only set aside', [slow, closed], undefined, 'slow'],
];

for (const [name, candidates, except, expected] of cases) {
	test(`chooses: ${name}`, t => {
		for (const make of choosers) {
			t.is(make().select(candidates, except)?.name, expected);
		}
	});
}

test('set aside is used when the others are full', t => {
	const chooser = new PowerOfTwo(xoroshiro128plus(1));
	const chosen = (others: Candidate[]) => new Set(Array.from({length: 50}, () => chooser.select(others)?.name));
	t.deepEqual(chosen([open, slow]), new Set(['open']));
	t.true(chosen([full, slow]).has('slow'));
});

test('power of two never takes the most expensive of three', t => {
	fc.assert(fc.property(fc.integer(), seed => {
		const chooser = new PowerOfTwo(xoroshiro128plus(seed));
		const chosen = chooser.select([open, candidate('b', {load: 1}), candidate('c', {load: 3, serviceMs: 50})]);
		t.not(chosen?.name, 'c');
	}), {seed: 5});
});

test('load is own plus what others had, fading', t => {
	const loads = new LoadTable();
	loads.begin('a');
	loads.applyReport('a', {
		inFlight: 3, queued: 2, limit: 4, serviceMs: 10,
	}, 0);
	t.is(loads.load('a', 0), 5);
	loads.end('a');
	t.is(loads.load('a', 0), 4);
	loads.applyReport('a', {
		inFlight: 0, queued: 0, limit: 4, serviceMs: 10,
	}, 100);
	t.is(loads.load('a', 100), 0);
	t.is(Math.round(loads.load('a', 5000) * 10), 36, 'the mean of the reports remains');
});
