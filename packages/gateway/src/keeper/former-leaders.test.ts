import test from 'ava';
import {lapseOf} from '@bluebellyard/core';
import {FormerLeaders, graceMs} from './former-leaders.js';

const timing = {holdMs: 6000, transitMs: 500};
const start = {now: 1000, hadLeader: true};

test('without a former leader there is nothing to wait for', t => {
	t.is(new FormerLeaders([], timing, {now: 1000, hadLeader: false}).end, Number.NEGATIVE_INFINITY);
});

test('a former process of the same instance sends no more grants', t => {
	t.is(new FormerLeaders([], timing, start).end, lapseOf(1000, timing));
});

test('a former leader sends no grants once it follows', t => {
	const formers = new FormerLeaders(['a'], timing, start);
	t.is(formers.end, lapseOf(1000 + graceMs, timing));
	formers.follows('a', 1200);
	t.is(formers.end, lapseOf(1200, timing));
	formers.follows('a', 5000);
	t.is(formers.end, lapseOf(1200, timing));
});

test('a leader of two terms ago may still send grants', t => {
	const formers = new FormerLeaders(['a', 'b'], timing, start);
	formers.follows('b', 1200);
	t.is(formers.end, lapseOf(1000 + graceMs, timing));
});
