import {Buffer} from 'node:buffer';
import xxhash from 'xxhash-wasm';
import {z} from 'zod';

const {h64ToString, h64Raw} = await xxhash();

const answerSchema = z.object({
	/** Order id that the router gave. */
	order: z.string(),
	/** Request id that the caller gave. */
	request: z.string(),
	/** Method and path with query, as received. */
	line: z.string(),
	/** Name of the answering target. */
	target: z.string(),
	/** Hash of the received body. */
	received: z.string(),
	/** Filler of the configured size. */
	payload: z.string(),
	/** Hash of all other fields. */
	hash: z.string(),
});

/** Body of a target's answer. */
export type AnswerBody = z.infer<typeof answerSchema>;

/** What a caller knows of its own request. */
export type SentRequest = {
	/** Value of `idempotency-key`; empty when it sent none. */
	readonly request: string;
	/** Method and path with query. */
	readonly line: string;
	/** Hash of the sent body, from `hashBody`. */
	readonly received: string;
};

/** Whether an answer is the whole answer to a request. */
export enum AnswerCheck {
	Whole = 'whole',
	/** It ended early or can't be read. */
	Truncated = 'truncated',
	/** It belongs to another request, or was altered. */
	Wrong = 'wrong',
}

/** Hash of a body. */
export function hashBody(body: Uint8Array): string {
	return h64Raw(body).toString(16);
}

/** Writes the body of an answer. */
export function encodeAnswerBody(answer: Omit<AnswerBody, 'hash'>): Buffer {
	return Buffer.from(JSON.stringify({...answer, hash: hashOf(answer)}));
}

/** Checks that `text` is the whole answer to the request. */
export function checkAnswer(text: string, sent: SentRequest): AnswerCheck {
	const answer = readAnswer(text);
	if (answer === undefined) {
		return AnswerCheck.Truncated;
	}

	const isMine = answer.request === sent.request
		&& answer.line === sent.line
		&& answer.received === sent.received;
	return isMine && answer.hash === hashOf(answer) ? AnswerCheck.Whole : AnswerCheck.Wrong;
}

/** Reads the body of an answer; undefined when it is not one. */
export function readAnswer(text: string): AnswerBody | undefined {
	try {
		return answerSchema.parse(JSON.parse(text));
	} catch {
		return undefined;
	}
}

function hashOf(answer: Omit<AnswerBody, 'hash'>): string {
	const {order, request, line, target, received, payload} = answer;
	return h64ToString([order, request, line, target, received, payload].join('\n'));
}
