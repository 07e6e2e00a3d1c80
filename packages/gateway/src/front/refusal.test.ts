import test from 'ava';
import {answerTable, ErrorKind} from '@bluebellyard/core';
import {getHttpStatus} from './refusal.js';

/** Statuses which state that a request has not run and never will. */
const notRunStatuses = new Set([408, 421, 429, 503]);

test('an unknown outcome never gets a status for requests that have not run', t => {
	for (const error of Object.values(ErrorKind)) {
		t.false(notRunStatuses.has(getHttpStatus({error, isNotRun: false})));
	}
});

test('server errors of requests that have not run get status 503', t => {
	for (const error of Object.values(ErrorKind).filter(kind => answerTable[kind].status >= 500)) {
		t.is(getHttpStatus({error, isNotRun: true}), 503);
	}
});
