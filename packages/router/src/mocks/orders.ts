import {Buffer} from 'node:buffer';
import {Repeat} from '@bluebellyard/core';
import {AnswerFraming} from '@bluebellyard/http-client';
import type {Answer, Order} from '../work/index.js';

let orderCount = 0;

/** Returns an order for shard 0 of pool `p` with a deadline that never passes. */
export function makeOrder(changes: Partial<Order> = {}): Order {
	orderCount += 1;
	return {
		id: `order-${orderCount}`,
		method: 'GET',
		path: '/k',
		headers: {},
		body: Buffer.alloc(0),
		pool: 'p',
		shard: 0,
		key: 'k',
		requestId: `request-${orderCount}`,
		repeat: Repeat.Idempotent,
		caller: 'c',
		deadline: Number.MAX_SAFE_INTEGER,
		signal: new AbortController().signal,
		...changes,
	};
}

/** Returns an answer with status 200 and the given body. */
export function makeAnswer(text: string): Answer {
	return {
		status: 200, headers: {}, body: Buffer.from(text), framing: AnswerFraming.Length,
	};
}
