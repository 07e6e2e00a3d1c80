import type {Pool} from 'undici';
import {
	ErrorKind, Outcome, Repeat, RequestError, type LoadReport,
} from '@bluebellyard/core';
import {createTrackedPool} from '@bluebellyard/http-client';
import type {TlsFiles} from '../settings/index.js';
import {
	exchange, headerText, internalPrefix, forwardableHeaders, type Answer, type Order,
} from '../work/index.js';

/** Names of the headers that instances add to forwarded requests and their answers. */
export const internalHeaders = {
	order: `${internalPrefix}order`,
	pool: `${internalPrefix}pool`,
	shard: `${internalPrefix}shard`,
	target: `${internalPrefix}target`,
	key: `${internalPrefix}key`,
	caller: `${internalPrefix}caller`,
	request: `${internalPrefix}request`,
	once: `${internalPrefix}once`,
	left: `${internalPrefix}left-ms`,
	reason: `${internalPrefix}reason`,
	load: `${internalPrefix}load`,
	wait: `${internalPrefix}wait`,
} as const;

/** Timeout for opening a connection, in milliseconds. */
const connectTimeoutMs = 300;

/** Maximum number of connections to one other instance. */
const maxConnections = 64;

const errorKinds = new Map<string, ErrorKind>(Object.values(ErrorKind).map(kind => [kind, kind]));

/** Answer received through another instance, with the load of the target as its steward reports it. */
export type ForwardedAnswer = {
	readonly answer: Answer;
	readonly load?: LoadReport;
};

/** Forwards orders to the stewards of their targets. */
export class Forwarder {
	private readonly pools = new Map<string, Pool>();

	private tls: TlsFiles | undefined;
	private readonly now: () => number;

	constructor(tls: TlsFiles | undefined, now: () => number) {
		this.tls = tls;
		this.now = now;
	}

	/** Sends an order to the instance at `addr`; rejects with a `RequestError`. */
	async forward(addr: string, target: string, order: Order): Promise<ForwardedAnswer> {
		const timeoutMs = order.deadline - this.now();
		const headers = forwardableHeaders(order.headers);
		headers[internalHeaders.order] = order.id;
		headers[internalHeaders.pool] = order.pool;
		headers[internalHeaders.shard] = String(order.shard);
		headers[internalHeaders.target] = target;
		headers[internalHeaders.key] = encodeURIComponent(order.key);
		headers[internalHeaders.caller] = order.caller;
		headers[internalHeaders.request] = order.requestId;
		headers[internalHeaders.once] = order.repeat === Repeat.Once ? '1' : '0';
		headers[internalHeaders.wait] = order.mayWait === false ? '0' : '1';
		headers[internalHeaders.left] = String(Math.floor(timeoutMs));
		const answer = await this.exchange(addr, order, headers, timeoutMs);
		const reason = errorKinds.get(headerText(answer.headers, internalHeaders.reason));
		if (reason !== undefined) {
			throw new RequestError(reason, 'refused by the steward');
		}

		return {answer: withoutInternalHeaders(answer), load: parseLoad(answer)};
	}

	/** Closes all connections. */
	async close(): Promise<void> {
		await Promise.all([...this.pools.values()].map(async pool => pool.destroy()));
		this.pools.clear();
	}

	/** Uses the given keys and certificates for new connections; open ones are closed when their requests end. */
	async updateTls(tls: TlsFiles | undefined): Promise<void> {
		this.tls = tls;
		const old = [...this.pools.values()];
		this.pools.clear();
		await Promise.all(old.map(async pool => pool.close()));
	}

	private async exchange(addr: string, order: Order, headers: Record<string, string | string[]>, timeoutMs: number): Promise<Answer> {
		const {method, path, body, signal} = order;
		try {
			return await exchange(this.getPool(addr), {
				method, path, headers, body, timeoutMs, signal, checkBeforeSend: () => undefined, mayEndWithConnection: false,
			});
		} catch (err) {
			if (err instanceof RequestError && err.kind === ErrorKind.ConnectFailed) {
				throw new RequestError(ErrorKind.StewardUnreachable, err.message);
			}

			throw err;
		}
	}

	private getPool(addr: string): Pool {
		const known = this.pools.get(addr);
		if (known !== undefined) {
			return known;
		}

		const {tls} = this;
		const origin = `${tls === undefined ? 'http' : 'https'}://${addr}`;
		const connect = {
			timeout: connectTimeoutMs,
			...(tls === undefined ? {} : {...tls, checkServerIdentity: () => undefined}),
		};
		const pool = createTrackedPool(origin, {
			connections: maxConnections, connect, headersTimeout: 0, bodyTimeout: 0,
		});
		this.pools.set(addr, pool);
		return pool;
	}
}

/** Returns whether a failure proves that the request did not run. */
export function provesNotRun(err: unknown): boolean {
	return err instanceof RequestError && err.answer.outcome === Outcome.NotRun;
}

/** Formats a load report as a header value. */
export function formatLoad(load: LoadReport): string {
	return `${load.inFlight},${load.queued},${load.limit},${Math.round(load.serviceMs * 1000) / 1000}`;
}

function parseLoad(answer: Answer): LoadReport | undefined {
	const [inFlight, queued, limit, serviceMs] = headerText(answer.headers, internalHeaders.load).split(',').map(Number);
	const isComplete = [inFlight, queued, limit, serviceMs].every(value => Number.isFinite(value));
	return isComplete
		? {
			inFlight, queued, limit, serviceMs,
		}
		: undefined;
}

/** Returns the answer of a target as its steward received it. */
function withoutInternalHeaders(answer: Answer): Answer {
	const headers = Object.fromEntries(Object.entries(answer.headers).filter(([name]) => !name.startsWith(internalPrefix)));
	return {...answer, headers};
}
