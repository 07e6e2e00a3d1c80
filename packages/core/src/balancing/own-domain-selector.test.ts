import test from 'ava';
import type {DomainCandidate} from './domain-selector.js';
import {OwnDomainSelector} from './own-domain-selector.js';

function candidate(domain: string): DomainCandidate {
	return {
		domain, queueId: `d${domain}`, targetCount: 3, slots: 6, steward: undefined,
	};
}

const candidates = [candidate('a'), candidate('b')];
const input = {
	ownDomain: 'a', objectiveMs: 400, now: 0, random: () => 0.5,
};

test('the own domain is preferred', t => {
	t.is(new OwnDomainSelector().select(candidates, input)?.candidate.domain, 'a');
});

test('load: a full own domain is avoided until its expected wait has decayed', t => {
	const selector = new OwnDomainSelector();
	selector.recordAnswer(candidates[0], 300, undefined, 0);
	t.is(selector.select(candidates, input)?.candidate.domain, 'b');
	t.is(selector.select(candidates, {...input, now: 3000})?.candidate.domain, 'a');
});

test('load: the own domain is selected while all are full', t => {
	const selector = new OwnDomainSelector();
	selector.recordRefusal(candidates[0], undefined, 0);
	selector.recordRefusal(candidates[1], undefined, 0);
	t.is(selector.select(candidates, input)?.candidate.domain, 'a');
});

test('without candidates no domain is selected', t => {
	t.is(new OwnDomainSelector().select([], input), undefined);
});
