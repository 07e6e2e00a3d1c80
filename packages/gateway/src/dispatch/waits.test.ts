import test from 'ava';
import {ClosedRanges} from './closed-ranges.js';
import {DeskWaits} from './desk-waits.js';

const choices = [
	{domain: 'a', desk: 'da', targets: 3},
	{domain: 'b', desk: 'db', targets: 3},
];
const input = {
	own: 'a', objectiveMs: 400, now: 0, random: 0.5,
};

test('the own domain comes first', t => {
	t.is(new DeskWaits().choose(choices, input)?.domain, 'a');
});

test('load: a full own domain sends work to the other one, and comes back to it', t => {
	const waits = new DeskWaits();
	waits.waited('da', 300, 0);
	t.is(waits.choose(choices, input)?.domain, 'b');
	t.is(waits.choose(choices, {...input, now: 3000})?.domain, 'a');
});

test('load: when all are full, work stays near', t => {
	const waits = new DeskWaits();
	waits.refused('da', 0);
	waits.refused('db', 0);
	t.is(waits.choose(choices, input)?.domain, 'a');
});

test('no domain, no choice', t => {
	t.is(new DeskWaits().choose([], input), undefined);
});

test('a handover is waited for, a loss is not', t => {
	const closed = new ClosedRanges();
	t.true(closed.patience('r', 0) > 0);
	t.true(closed.patience('r', 200) > 0);
	t.is(closed.patience('r', 1000), 0);
	closed.opened('r');
	t.true(closed.patience('r', 2000) > 0);
});
