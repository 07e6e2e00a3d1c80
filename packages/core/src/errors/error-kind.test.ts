import test from 'ava';
import {answerTable, ErrorKind, Outcome} from './error-kind.js';

test('every kind has an answer', t => {
	t.deepEqual(Object.keys(answerTable).toSorted(), Object.values(ErrorKind).toSorted());
});

test('every 503 is not run and has a retry-after value', t => {
	const rows = Object.values(answerTable).filter(row => row.status === 503);
	t.true(rows.every(row => row.outcome === Outcome.NotRun));
	t.true(rows.every(row => row.retryAfter !== undefined));
});
