import type {Buffer} from 'node:buffer';
import {RunMode} from '@bluebellyard/core';
import type {Order} from './order.js';

/** An order as it is forwarded to another instance, without its body. Times are durations in milliseconds, since the clocks of instances differ. */
export type WireOrder = {
	/** Id of the dispatch queue. */
	readonly desk: string;
	readonly id: string;
	/** Method. */
	readonly m: string;
	/** Path with the query string. */
	readonly p: string;
	/** Headers. */
	readonly h: ReadonlyArray<readonly [string, string]>;
	/** Route. */
	readonly rt: string;
	/** Service. */
	readonly s: string;
	/** Key. */
	readonly k: number | undefined;
	/** Priority. */
	readonly pr: number;
	readonly once: boolean;
	/** Latency objective. */
	readonly obj: number;
	/** Time since the arrival of the request. */
	readonly age: number;
	/** Time until the objective is missed. */
	readonly late: number;
	/** Time until the deadline. */
	readonly left: number;
	/** Excluded targets. */
	readonly x: readonly string[];
	/** Run mode; absent from instances of an earlier version. */
	readonly rm?: RunMode;
	/** Name of the caller's team; absent without one. */
	readonly tm?: string;
	/** Token by which the sender reports the end of the order if it may send it directly; absent if it can't, and from instances of an earlier version. */
	readonly dx?: string;
};

/** Takes back an order that waits in a dispatch queue of another instance. */
export type WireWithdrawal = Pick<WireOrder, 'desk' | 'id'>;

/** Encodes an order for the dispatch queue of another instance. */
export function encodeOrder(order: Order, queueId: string, now: number): WireOrder {
	return {
		desk: queueId,
		id: order.requestId,
		m: order.method,
		p: order.path,
		h: order.headers,
		rt: order.route,
		s: order.service,
		k: order.key,
		pr: order.priority,
		once: order.isOnce,
		obj: order.objectiveMs,
		age: Math.round(now - order.arrivedAt),
		late: Math.round(order.objectiveAt - now),
		left: Math.round(order.deadline - now),
		x: order.excluded,
		rm: order.mode,
		...(order.team !== undefined && {tm: order.team}),
	};
}

/** Decodes an order from another instance. Its times become those of this process. */
export function decodeOrder(wire: WireOrder, body: Buffer, {now, skipsRateLimited}: {now: number; skipsRateLimited: boolean}): Order {
	return {
		requestId: wire.id,
		method: wire.m,
		path: wire.p,
		headers: wire.h,
		body,
		route: wire.rt,
		service: wire.s,
		key: wire.k,
		priority: wire.pr,
		isOnce: wire.once,
		objectiveMs: wire.obj,
		arrivedAt: now - wire.age,
		objectiveAt: now + wire.late,
		deadline: now + wire.left,
		excluded: wire.x,
		skipsRateLimited,
		mode: wire.rm ?? RunMode.Usual,
		team: wire.tm,
	};
}
