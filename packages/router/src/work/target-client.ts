import {Buffer} from 'node:buffer';
import {Pool} from 'undici';
import {z} from 'zod';
import type {GrantAnswer, GrantEffect, Permit} from '@bluebellyard/core';
import {exchange} from './exchange.js';
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

/** Answer to a grant, with the target's word on whether it is cold. */
export type GrantReply = GrantAnswer & {readonly cold: boolean};

/** Time to open a connection, in milliseconds. */
const connectTimeoutMs = 1000;

/** Connections to one target. */
export class TargetClient {
	private readonly work: Pool;
	private readonly control: Pool;

	constructor(readonly addr: string, connections: number) {
		const origin = `http://${addr}`;
		const connect = {timeout: connectTimeoutMs};
		this.work = new Pool(origin, {
			connections, connect, headersTimeout: 0, bodyTimeout: 0,
		});
		this.control = new Pool(origin, {connections: 2, connect});
	}

	/** Sends one order. `checkLast` runs right before the first byte is written. */
	async send(order: Order, permit: Permit | undefined, timeoutMs: number, checkLast: () => void): Promise<Answer> {
		const headers = forwardableHeaders(order.headers);
		headers['x-order-id'] = order.id;
		headers['x-timeout-ms'] = String(Math.floor(timeoutMs));
		headers['x-pool'] = order.pool;
		if (permit !== undefined) {
			headers['x-shard'] = String(order.shard);
			headers['x-fence'] = String(permit.fence);
			headers['x-deadline'] = String(Math.min(permit.targetUntil, permit.targetNow + timeoutMs));
		}

		return exchange(this.work, {
			method: order.method, path: order.path, headers, body: order.body, timeoutMs, signal: order.signal, checkBeforeSend: checkLast,
		});
	}

	/** Renews the lease; fails when there is no answer in time. */
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
		const res = await this.control.request({
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
		await Promise.all([this.work.destroy(), this.control.destroy()]);
	}
}
