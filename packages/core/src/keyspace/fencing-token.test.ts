import test from 'ava';
import {fencingToken} from './fencing-token.js';

test('a token of a later era exceeds all tokens of earlier ones', t => {
	t.true(fencingToken(2, 0) > fencingToken(1, 1_000_000_000));
	t.true(fencingToken(1, 0) > fencingToken(0, 1_000_000_000));
});

test('tokens without an era are the offsets', t => {
	t.is(fencingToken(0, 7), 7);
	t.true(fencingToken(3, 8) > fencingToken(3, 7));
});

test('a token that is no exact integer is an error', t => {
	t.throws(() => fencingToken(2 ** 20, 1), {instanceOf: RangeError});
});
