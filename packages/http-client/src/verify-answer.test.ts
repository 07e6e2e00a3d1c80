/** Guards against a rule that nothing else would miss, as the parser and the instances are right in all other tests. */
import {Socket} from 'node:net';
import test from 'ava';
import {AnswerFraming} from './answer-framing.js';
import {ConnectionEnd, ConnectionState} from './connection-state.js';
import {UnverifiedReason, verifyAnswer, type ReceivedAnswer} from './verify-answer.js';

function verify(changes: Partial<ReceivedAnswer>, end = ConnectionEnd.None): UnverifiedReason | undefined {
	const connection = new ConnectionState(new Socket(), 0);
	connection.end = end;
	connection.recordRequest('r1');
	return verifyAnswer({
		framing: AnswerFraming.Length, length: 4, bytes: 4, connection, hasLaterAnswer: false, mayEndWithConnection: true, ...changes,
	});
}

test('a length: exactly as many bytes', t => {
	t.is(verify({}), undefined);
	t.is(verify({length: 3}), UnverifiedReason.WrongLength);
	t.is(verify({length: 5}), UnverifiedReason.WrongLength);
});

test('chunks: before any end of the connection', t => {
	const chunks = {framing: AnswerFraming.Chunks, length: undefined};
	t.is(verify(chunks), undefined);
	t.is(verify(chunks, ConnectionEnd.Orderly), UnverifiedReason.ConnectionLost);
	t.is(verify(chunks, ConnectionEnd.Failed), UnverifiedReason.ConnectionLost);
});

test('the end of the connection: by the other side, in order, if it may', t => {
	const close = {framing: AnswerFraming.Close, length: undefined};
	t.is(verify(close, ConnectionEnd.Orderly), undefined);
	t.is(verify(close, ConnectionEnd.Failed), UnverifiedReason.ConnectionLost);
	t.is(verify(close), UnverifiedReason.ConnectionLost);
	t.is(verify({...close, connection: undefined}), UnverifiedReason.ConnectionLost);
	t.is(verify({...close, mayEndWithConnection: false}, ConnectionEnd.Orderly), UnverifiedReason.UnsupportedFraming);
	t.is(verify({...close, hasLaterAnswer: true}, ConnectionEnd.Orderly), UnverifiedReason.LaterAnswer);
});

test('anything else: never', t => {
	t.is(verify({framing: AnswerFraming.Unsupported}, ConnectionEnd.Orderly), UnverifiedReason.UnsupportedFraming);
});
