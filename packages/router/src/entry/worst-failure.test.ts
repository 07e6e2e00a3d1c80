import {ErrorKind, RequestError} from '@bluebellyard/core';
import test from 'ava';
import {worstFailure} from './worst-failure.js';

const cases: ReadonlyArray<readonly [name: string, kinds: readonly ErrorKind[], expected: ErrorKind]> = [
	['one not run', [ErrorKind.ConnectFailed], ErrorKind.ConnectFailed],
	['not run after one that may have run', [ErrorKind.ConnectionLost, ErrorKind.StewardUnreachable], ErrorKind.ConnectionLost],
	['several not run', [ErrorKind.NotSteward, ErrorKind.NoOwner], ErrorKind.NoOwner],
];

for (const [name, kinds, expected] of cases) {
	test(`failure for the caller: ${name}`, t => {
		const failure = worstFailure(kinds.map(kind => new RequestError(kind)));
		t.true(failure instanceof RequestError && failure.kind === expected);
	});
}
