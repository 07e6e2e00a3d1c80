import test from 'ava';
import {answerTable, ErrorKind} from '@bluebellyard/core';
import {statusOf} from './refusal.js';

/** Statuses that promise that a request has not run and never will. */
const promises = new Set([408, 421, 429, 503]);

test('an unknown outcome never promises that nothing ran', t => {
	for (const error of Object.values(ErrorKind)) {
		t.false(promises.has(statusOf({error, isNotRun: false})));
	}
});

test('what did not run says so when its kind is the gateway\'s', t => {
	for (const error of Object.values(ErrorKind).filter(kind => answerTable[kind].status >= 500)) {
		t.is(statusOf({error, isNotRun: true}), 503);
	}
});
