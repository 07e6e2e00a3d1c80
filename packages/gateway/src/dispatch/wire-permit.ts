import {Buffer} from 'node:buffer';
import type {AttemptOutcome, QueueLoad} from '@bluebellyard/core';
import {noBytes, type Message} from '../peers/index.js';
import type {TargetHeaders} from '../ports/index.js';
import type {ConnectionFault, TargetResult} from '../queue/index.js';
import type {OrderResult} from './order.js';
import {decodeLoad, encodeLoad, encodeResult} from './wire-result.js';

/** Permit of a dispatch queue for the instance that forwarded an order: it may send the order to a target itself. */
export type DirectPermit = {
	readonly kind: 'permit';
	readonly target: PermittedTarget;
	/** Time that the order waited at the steward, in milliseconds. */
	readonly waitMs: number;
	/** Time from the end of the wait for which the permit may be used, in milliseconds. */
	readonly useMs: number;
	/** Load of the dispatch queue; undefined where it is not used. */
	readonly load?: QueueLoad;
};

/** Target of a permit. */
export type PermittedTarget = {
	readonly id: string;
	readonly name: string;
	readonly addr: string;
	readonly slots: number;
};

/** Report of the end of an order that was sent directly, without the answer. */
export type DirectEnd = {
	/** Token of the order. */
	readonly token: string;
	readonly outcome: AttemptOutcome;
	readonly isNotRun: boolean;
	readonly status: number;
	/** Time from the start of the request to its end, in milliseconds. */
	readonly tookMs: number;
	readonly fault: ConnectionFault;
	readonly reason: string;
	/** What the target stated about itself; undefined without an answer. */
	readonly meta?: TargetHeaders;
};

/** Encodes the answer to an order: its result, or a permit in place of it. */
export function encodeReply(reply: DirectPermit | OrderResult): Message {
	if (reply.kind !== 'permit') {
		return encodeResult(reply);
	}

	const {load, ...permit} = reply;
	return {value: {...permit, ...encodeLoad(load)}, bytes: noBytes};
}

/** Decodes a permit; undefined if the message is the result of an order that has ended. */
export function decodePermit({value}: Message): DirectPermit | undefined {
	const {q, ...permit} = value as DirectPermit & {readonly q?: unknown};
	const load = decodeLoad(q);
	return permit.kind === 'permit' ? {...permit, ...(load !== undefined && {load})} : undefined;
}

/** Encodes the report of the end of an order. */
export function encodeEnd(token: string, {outcome, isNotRun, status, fault, reason, meta}: TargetResult, tookMs: number): Message {
	const end: DirectEnd = {
		token, outcome, isNotRun, status, fault, reason, tookMs: Math.round(tookMs), ...(meta !== undefined && {meta}),
	};
	return {value: end, bytes: noBytes};
}

/** Decodes the report of the end of an order as the result of the attempt. Its answer has no headers and no body. */
export function decodeEnd({value}: Message): {token: string; result: TargetResult} {
	const {token, meta, ...end} = value as DirectEnd;
	return {
		token, result: {
			...end, meta, headers: [], body: Buffer.alloc(0),
		},
	};
}

/** Encodes the answer to such a report: the result of an order that failed, empty if it was answered or if the steward did not wait for the report. */
export function encodeEndReply(result: OrderResult | undefined): Message {
	return result?.kind === 'failure' ? encodeResult(result) : {value: undefined, bytes: noBytes};
}
