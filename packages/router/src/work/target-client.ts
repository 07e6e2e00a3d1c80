import {Buffer} from 'node:buffer';
import type {Pool} from 'undici';
import {z} from 'zod';
import type {GrantAnswer, GrantEffect, Permit} from '@bluebellyard/core';
import {createTrackedPool} from '@bluebellyard/http-client';
import {exchange, orderIdHeader} from './exchange.js';
import {forwardableHeaders} from './headers.js';
import type {Answer, Order} from './order.js';

const grantAnswerSchema = z.object({
	accepted: z.boolean(),
	incarnation: z.string(),
	tenure: z.number(),
	clock: z.number(),
	cold: z.boolean().optional(),
	shards: z.number().optional(),
});

/** Answer of a target to a grant, with whether the target reports itself as cold. */
export type GrantReply = GrantAnswer & {readonly cold: boolean};

/** Timeout for opening a connection, in milliseconds. */
const connectTimeoutMs = 1000;

/** Largest answer to a control request, in bytes; many times the list of all shards of a target. */
const maxControlBytes = 4 * 1024 * 1024;

/** HTTP client for one target, with separate connections for orders and for control requests. */
export class TargetClient {
	private readonly orderPool: Pool;
	private readonly controlPool: Pool;

	constructor(readonly addr: string, connections: number) {
		const origin = `http://${addr}`;
		const connect = {timeout: connectTimeoutMs};
		this.orderPool = createTrackedPool(origin, {
			connections, connect, headersTimeout: 0, bodyTimeout: 0,
		});
		this.controlPool = createTrackedPool(origin, {connections: 2, connect, maxResponseSize: maxControlBytes});
	}

	/** Sends one order. `checkBeforeSend` is called right before the first byte is written and throws to stop the order. Rejects with a `RequestError`. */
	async send(order: Order, permit: Permit | undefined, timeoutMs: number, checkBeforeSend: () => void): Promise<Answer> {
		const headers = forwardableHeaders(order.headers);
		headers[orderIdHeader] = order.id;
		headers['x-timeout-ms'] = String(Math.floor(timeoutMs));
		headers['x-pool'] = order.pool;
		if (permit !== undefined) {
			headers['x-shard'] = String(order.shard);
			headers['x-fence'] = String(permit.fence);
			headers['x-deadline'] = String(Math.min(permit.targetUntil, permit.targetNow + timeoutMs));
		}

		return exchange(this.orderPool, {
			method: order.method, path: order.path, headers, body: order.body, timeoutMs, signal: order.signal, checkBeforeSend, mayEndWithConnection: true,
		});
	}

	/** Sends a grant, which renews the lease of the target; rejects when there is no valid answer in time. */
	async grant(effect: GrantEffect, timeoutMs: number, steward: string): Promise<GrantReply> {
		const body = Buffer.from(JSON.stringify({
			target: effect.target,
			tenure: effect.tenure,
			steward,
			incarnation: effect.incarnation,
			until: effect.until,
			full: effect.isFull,
			shards: effect.grant.map(({pool, shard, fence}) => [pool, shard, fence]),
			revoke: effect.revoke.map(({pool, shard}) => [pool, shard]),
		}));
		const res = await this.controlPool.request({
			method: 'POST',
			path: '/control/grant',
			headers: {'content-type': 'application/json'},
			body,
			signal: AbortSignal.timeout(timeoutMs),
		});
		const {cold = false, ...answer} = grantAnswerSchema.parse(await res.body.json());
		return {...answer, cold};
	}

	/** Closes all connections. */
	async close(): Promise<void> {
		await Promise.all([this.orderPool.destroy(), this.controlPool.destroy()]);
	}
}
