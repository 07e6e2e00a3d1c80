import test from 'ava';
import {usualOrder} from '../mocks/index.js';
import {returnKeyOf} from './return-key.js';

// A caller comes back under a new id on another connection; another caller must not take its reservation.
test('a return key depends on the method, path, host, key and team, not on the id', t => {
	const order = {...usualOrder, headers: [['Host', 'a']] as const, key: 3};
	const otherId = {...order, requestId: 'other'};
	t.is(returnKeyOf(otherId), returnKeyOf(order));
	for (const change of [{method: 'POST'}, {path: '/other'}, {headers: [['Host', 'b']] as const}, {key: 4}, {team: 'other'}]) {
		t.not(returnKeyOf({...order, ...change}), returnKeyOf(order));
	}
});
