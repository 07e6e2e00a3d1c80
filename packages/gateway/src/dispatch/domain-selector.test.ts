import test from 'ava';
import {ClosedRanges} from './closed-ranges.js';
import {DomainSelector} from './domain-selector.js';

const choices = [
	{domain: 'a', desk: 'da', targets: 3},
	{domain: 'b', desk: 'db', targets: 3},
];
const input = {
	own: 'a', objectiveMs: 400, now: 0, random: 0.5,
};

test('the own domain comes first', t => {
	t.is(new DomainSelector().select(choices, input)?.domain, 'a');
});

test('load: a full own domain sends work to the other one, and comes back to it', t => {
	const waits = new DomainSelector();
	waits.recordWait('da', 300, 0);
	t.is(waits.select(choices, input)?.domain, 'b');
	t.is(waits.select(choices, {...input, now: 3000})?.domain, 'a');
});

test('load: when all are full, work stays near', t => {
	const waits = new DomainSelector();
	waits.recordRefusal('da', 0);
	waits.recordRefusal('db', 0);
	t.is(waits.select(choices, input)?.domain, 'a');
});

test('no domain, no choice', t => {
	t.is(new DomainSelector().select([], input), undefined);
});

test('a handover is waited for, a loss is not', t => {
	const closed = new ClosedRanges();
	t.true(closed.maxWaitMs('r', 0) > 0);
	t.true(closed.maxWaitMs('r', 200) > 0);
	t.is(closed.maxWaitMs('r', 1000), 0);
	closed.markOpen('r');
	t.true(closed.maxWaitMs('r', 2000) > 0);
});
