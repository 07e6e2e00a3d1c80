import type {Buffer} from 'node:buffer';
import type {IncomingHttpHeaders} from 'node:http';
import type {AnswerFraming} from './answer-framing.js';

/** An answer whose end is proved. */
export type WholeAnswer = {
	readonly status: number;
	/** Headers by their lower-case names. */
	readonly headers: IncomingHttpHeaders;
	readonly body: Buffer;
	readonly framing: AnswerFraming;
};
