import {Buffer} from 'node:buffer';
import xxhash from 'xxhash-wasm';
import {z} from 'zod';

const {h64ToString, h64Raw} = await xxhash();

const answerSchema = z.object({
	/** Order id assigned by the router. */
	order: z.string(),
	/** Request id assigned by the caller. */
	request: z.string(),
	/** Method and path with query, as received. */
	line: z.string(),
	/** Name of the target that answered. */
	target: z.string(),
	/** Hash of the received body. */
	received: z.string(),
	/** Padding of the configured size. */
	payload: z.string(),
	/** Hash of all other fields. */
	hash: z.string(),
});

/** Body of a target's answer. */
export type AnswerBody = z.infer<typeof answerSchema>;

/** What a caller knows about its own request. */
export type SentRequest = {
	/** Value of `idempotency-key`; empty when it sent none. */
	readonly request: string;
	/** Method and path with query. */
	readonly line: string;
	/** Hash of the sent body, from `hashBody`. */
	readonly received: string;
};

/** Result of checking an answer against its request. */
export enum AnswerCheck {
	/** It is the complete, unaltered answer to the request. */
	Whole = 'whole',
	/** It ended early or cannot be parsed. */
	Truncated = 'truncated',
	/** It belongs to another request or was altered. */
	Wrong = 'wrong',
}

/** Returns the hash of a body. */
export function hashBody(body: Uint8Array): string {
	return h64Raw(body).toString(16);
}

/** Encodes the body of an answer and adds its hash. */
export function encodeAnswerBody(answer: Omit<AnswerBody, 'hash'>): Buffer {
	return Buffer.from(JSON.stringify({...answer, hash: computeHash(answer)}));
}

/** Checks whether `text` is the complete answer to the request. */
export function checkAnswer(text: string, sent: SentRequest): AnswerCheck {
	const answer = readAnswer(text);
	if (answer === undefined) {
		return AnswerCheck.Truncated;
	}

	const isForRequest = answer.request === sent.request
		&& answer.line === sent.line
		&& answer.received === sent.received;
	return isForRequest && answer.hash === computeHash(answer) ? AnswerCheck.Whole : AnswerCheck.Wrong;
}

/** Parses the body of an answer. Returns `undefined` if it is not one. */
export function readAnswer(text: string): AnswerBody | undefined {
	try {
		return answerSchema.parse(JSON.parse(text));
	} catch {
		return undefined;
	}
}

function computeHash(answer: Omit<AnswerBody, 'hash'>): string {
	const {order, request, line, target, received, payload} = answer;
	return h64ToString([order, request, line, target, received, payload].join('\n'));
}
