import test from 'ava';
import {seededRandom} from '../random/index.js';
import {BalancedSelector} from './balanced-selector.js';
import {ChoiceKind, type DomainCandidate} from './domain-selector.js';

function candidate(domain: string): DomainCandidate {
	return {
		domain, queueId: `d${domain}`, targetCount: 3, slots: 6, steward: `e${domain}`,
	};
}

const [a, b, c] = ['a', 'b', 'c'].map(domain => candidate(domain));
const input = {
	ownDomain: 'a', objectiveMs: 400, now: 0, random: () => 0.5,
};

/** Load with this expected wait, in milliseconds. */
function waitOf(waitMs: number): {capacity: number; aheadMs: number} {
	return {capacity: 6, aheadMs: waitMs * 6};
}

/** Returns how many of 1000 choices are each domain. */
function countChoices(selector: BalancedSelector, candidates: readonly DomainCandidate[]): Record<string, number> {
	const random = seededRandom(1);
	const counts: Record<string, number> = {a: 0, b: 0, c: 0};
	for (let i = 0; i < 1000; i += 1) {
		counts[selector.select(candidates, {...input, random})!.candidate.domain] += 1;
	}

	return counts;
}

test('the own domain is selected while its wait is below a fifth of the objective', t => {
	const selector = new BalancedSelector();
	t.like(selector.select([a, b, c], input), {candidate: a, kind: ChoiceKind.Own, stateAgeMs: undefined});
	selector.recordAnswer(a, 0, waitOf(79), 0);
	t.like(selector.select([a, b, c], {...input, now: 0}), {candidate: a, kind: ChoiceKind.Own, stateAgeMs: 0});
	selector.recordAnswer(a, 0, waitOf(81), 0);
	t.not(selector.select([a, b, c], {...input, random: () => 0})?.kind, ChoiceKind.Own);
});

// All instances of a domain would move all of their requests at the same moment.
test('load: the part that moves grows with the difference of the waits', t => {
	const parts = [100, 160, 220, 300].map(waitMs => {
		const selector = new BalancedSelector();
		selector.recordAnswer(a, 0, waitOf(waitMs), 0);
		return 1000 - countChoices(selector, [a, b, c]).a;
	});
	t.true(parts[0] > 100 && parts[0] < 300, `${parts.join(' ')}`);
	t.true(parts[1] > 400 && parts[1] < 600, `${parts.join(' ')}`);
	t.true(parts[2] > 700 && parts[2] < 900, `${parts.join(' ')}`);
	t.is(parts[3], 1000);
});

test('load: another domain is drawn by its free capacity, a full one rarely', t => {
	const selector = new BalancedSelector();
	selector.recordAnswer(a, 0, waitOf(2000), 0);
	selector.recordAnswer(b, 0, waitOf(200), 0);
	const {b: busy, c: free} = countChoices(selector, [a, b, c]);
	t.true(Math.abs((free / busy) - 2) < 0.3, `${busy} ${free}`);
	selector.recordRefusal(b, undefined, 0);
	t.true(countChoices(selector, [a, b, c]).b < 150);
});

test('load: a domain that refused is avoided until an answer says otherwise', t => {
	const selector = new BalancedSelector();
	selector.recordRefusal(a, undefined, 0);
	t.is(selector.select([a, b], input)?.candidate, b);
	selector.recordAnswer(a, 0, undefined, 1);
	t.is(selector.select([a, b], {...input, now: 1})?.candidate, a);
});

test('load: the own domain is selected while all are full', t => {
	const selector = new BalancedSelector();
	for (const each of [a, b, c]) {
		selector.recordRefusal(each, undefined, 0);
	}

	t.is(selector.select([a, b, c], input)?.candidate, a);
});

// Instances of an earlier version tell no load; the waits that the selector knows are then those of its own requests.
test('load: own requests in flight count although no steward told its load', t => {
	const selector = new BalancedSelector();
	const ends = Array.from({length: 24}, () => selector.recordSend(a, 100));
	t.is(selector.select([a, b], input)?.candidate, b);
	for (const end of ends) {
		end();
	}

	t.is(selector.select([a, b], input)?.candidate, a);
});

test('instances without targets in their own domain select one of the others', t => {
	const selector = new BalancedSelector();
	t.is(selector.select([], input), undefined);
	t.like(selector.select([b], input), {candidate: b, kind: ChoiceKind.First});
	selector.recordAnswer(b, 0, waitOf(1000), 0);
	t.is(countChoices(selector, [b, c]).a, 0);
	t.true(countChoices(selector, [b, c]).c > 900);
});
