/** Guards against a length that the router states of a body that it does not have. */
import {Buffer} from 'node:buffer';
import {AnswerFraming} from '@bluebellyard/http-client';
import test from 'ava';
import {answerHeaders} from './headers.js';

const empty = {status: 200, body: Buffer.alloc(0), framing: AnswerFraming.NoBody};

test('an answer whose end the target stated states its length', t => {
	for (const framing of [AnswerFraming.Length, AnswerFraming.Chunks]) {
		t.deepEqual(answerHeaders({
			status: 200, headers: {'x-own': 'a', 'transfer-encoding': 'chunked'}, body: Buffer.from('body'), framing,
		}), {'x-own': 'a', 'content-length': '4'});
	}
});

test('an answer that ended with its connection states its length, as this process may end before it', t => {
	const answer = {status: 200, headers: {}, framing: AnswerFraming.Close};
	for (const bytes of [0, 4, 2_000_000]) {
		t.deepEqual(answerHeaders({...answer, body: Buffer.alloc(bytes)}), {'content-length': `${bytes}`});
	}
});

test('an answer without a body states the length that the target stated, or none', t => {
	t.deepEqual(answerHeaders({...empty, headers: {'content-length': '600'}}), {'content-length': '600'});
	t.deepEqual(answerHeaders({...empty, headers: {}}), {});
	t.deepEqual(answerHeaders({...empty, status: 204, headers: {'content-length': '0'}}), {});
});
