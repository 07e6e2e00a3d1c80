import test from 'ava';
import {ClosedRanges} from './closed-ranges.js';
import {DomainSelector} from './domain-selector.js';

const candidates = [
	{domain: 'a', queueId: 'da', targetCount: 3},
	{domain: 'b', queueId: 'db', targetCount: 3},
];
const input = {
	ownDomain: 'a', objectiveMs: 400, now: 0, random: 0.5,
};

test('the own domain is preferred', t => {
	t.is(new DomainSelector().select(candidates, input)?.domain, 'a');
});

test('load: a full own domain is avoided until its expected wait has decayed', t => {
	const selector = new DomainSelector();
	selector.recordWait('da', 300, 0);
	t.is(selector.select(candidates, input)?.domain, 'b');
	t.is(selector.select(candidates, {...input, now: 3000})?.domain, 'a');
});

test('load: the own domain is selected while all are full', t => {
	const selector = new DomainSelector();
	selector.recordRefusal('da', 0);
	selector.recordRefusal('db', 0);
	t.is(selector.select(candidates, input)?.domain, 'a');
});

test('without candidates no domain is selected', t => {
	t.is(new DomainSelector().select([], input), undefined);
});

test('requests wait for a handover but not after the loss of an owner', t => {
	const closed = new ClosedRanges();
	t.true(closed.maxWaitMs('r', 0) > 0);
	t.true(closed.maxWaitMs('r', 200) > 0);
	t.is(closed.maxWaitMs('r', 1000), 0);
	closed.markOpen('r');
	t.true(closed.maxWaitMs('r', 2000) > 0);
});
