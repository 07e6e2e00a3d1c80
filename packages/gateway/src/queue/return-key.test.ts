import test from 'ava';
import {ReservationMode} from '@bluebellyard/core';
import {usualOrder} from '../mocks/index.js';
import {isReserving, returnKeyOf} from './return-key.js';

test('reservations are on if the setting says so, or in mode auto while a route has large answers', t => {
	t.true(isReserving(ReservationMode.On, {hasLargeAnswers: false}));
	t.false(isReserving(ReservationMode.Auto, {hasLargeAnswers: false}));
	t.true(isReserving(ReservationMode.Auto, {hasLargeAnswers: true}));
	t.false(isReserving(ReservationMode.Off, {hasLargeAnswers: true}));
});

// A caller comes back under a new id on another connection; another caller must not take its reservation.
test('a return key depends on the method, path, host, key and team, not on the id', t => {
	const order = {...usualOrder, headers: [['Host', 'a']] as const, key: 3};
	const otherId = {...order, requestId: 'other'};
	t.is(returnKeyOf(otherId), returnKeyOf(order));
	for (const change of [{method: 'POST'}, {path: '/other'}, {headers: [['Host', 'b']] as const}, {key: 4}, {team: 'other'}]) {
		t.not(returnKeyOf({...order, ...change}), returnKeyOf(order));
	}
});
