import {ErrorKind, type QueueLoad} from '@bluebellyard/core';
import {AnswerFraming} from '@bluebellyard/http-client';
import {noBytes, type Message} from '../peers/index.js';
import type {Answer} from '../ports/index.js';
import {
	failure, type AnsweredResult, type FailedResult, type OrderResult,
} from './order.js';

/** The result of an order as it is returned to the instance that forwarded it, without the body of the answer. */
export type WireResult = (AnsweredResult | FailedResult) & {
	/** Load of the dispatch queue as capacity, in slots of normal speed, and work ahead, in milliseconds; absent where it is not used and from instances of an earlier version. */
	readonly q?: readonly [capacity: number, aheadMs: number];
};

/** An answer from an instance of an earlier version, which states whether the target stated a length or chunks. */
type EarlierAnswer = {readonly isFramed?: boolean; readonly framing?: AnswerFraming};

/** Encodes a result, with the load of the dispatch queue if it is told. */
export function encodeResult({load, ...result}: OrderResult): Message {
	const told = encodeLoad(load);
	return result.kind === 'answer'
		? {value: {...result, ...told, answer: {...result.answer, body: noBytes}} satisfies WireResult, bytes: result.answer.body}
		: {value: {...result, ...told} satisfies WireResult, bytes: noBytes};
}

/** Decodes a result from another instance. A load that is none is ignored. */
export function decodeResult({value, bytes}: Message): OrderResult {
	const {q, ...result} = value as WireResult;
	const load = decodeLoad(q);
	const known = load === undefined ? result : {...result, load};
	if (known.kind === 'failure') {
		return known;
	}

	const {isFramed, framing, ...answer}: EarlierAnswer & Omit<Answer, 'framing'> = known.answer;
	if (framing === undefined && isFramed === false) {
		// Instances of an earlier version don't check where such an answer ends.
		return failure(ErrorKind.ConnectionLost, {
			isNotRun: false, target: known.target, waitMs: known.waitMs, reason: 'an instance of an earlier version passed on an answer without a length',
		});
	}

	return {...known, answer: {...answer, framing: framing ?? AnswerFraming.Length, body: bytes}};
}

/** Returns the field of a message that tells the load of a dispatch queue; none if it is not told. */
export function encodeLoad(load: QueueLoad | undefined): Pick<WireResult, 'q'> {
	return load === undefined ? {} : {q: [Math.round(load.capacity * 100) / 100, Math.round(load.aheadMs)]};
}

/** Returns the load that a message tells; undefined if it tells none. */
export function decodeLoad(q: unknown): QueueLoad | undefined {
	const isLoad = Array.isArray(q) && q.length === 2 && q.every(number => typeof number === 'number' && number >= 0);
	return isLoad ? {capacity: q[0] as number, aheadMs: q[1] as number} : undefined;
}
