import {answerTable, type AnswerRow, type ErrorKind} from './error-kind.js';

/** Failure of one request. */
export class RequestError extends Error {
	override readonly name = 'RequestError';

	constructor(readonly kind: ErrorKind, readonly detail = '') {
		super(detail === '' ? kind : `${kind}: ${detail}`);
	}

	/** Row of the answer table for this kind. */
	get answer(): AnswerRow {
		return answerTable[this.kind];
	}
}
