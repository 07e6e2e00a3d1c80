import {randomUUID} from 'node:crypto';
import {
	createServer, type IncomingMessage, type Server, type ServerResponse,
} from 'node:http';
import {ErrorKind, Repeat, RequestError} from '@bluebellyard/core';
import {Counter, type Counters} from '../metrics/index.js';
import type {Address, LimitSettings} from '../settings/index.js';
import {
	headerText, forwardableHeaders, type Answer, type Order,
} from '../work/index.js';
import {listen, closeServer} from './listen.js';
import {readBody} from './read-body.js';
import {sendRefusal, toRequestError} from './refusal.js';
import type {RequestRouter} from './request-router.js';

/** Longest request id, in characters. */
const maxRequestIdLength = 200;

/** What the server works with. */
export type CallerServerOptions = {
	readonly router: Pick<RequestRouter, 'match' | 'findShard' | 'run'>;
	readonly limits: LimitSettings;
	readonly counters: Counters;
	readonly now: () => number;
	/** Whether this instance has state to route by. */
	readonly isReady: () => boolean;
};

/** Takes the requests of callers. */
export class CallerServer {
	private readonly server: Server;
	private isStopping = false;
	private inFlight = 0;
	private onIdle: (() => void) | undefined;

	constructor(private readonly options: CallerServerOptions) {
		const {limits} = options;
		this.server = createServer({
			maxHeaderSize: limits.headers,
			headersTimeout: limits.headersTimeout,
			requestTimeout: limits.bodyTimeout,
			keepAliveTimeout: limits.idleTimeout,
		}, (req, res) => {
			void this.serve(req, res);
		});
	}

	/** Listens; resolves to the address with its real port. */
	async start(addr: Address): Promise<string> {
		return listen(this.server, addr);
	}

	/** Takes no new connections, lets requests in flight end and tells callers to connect elsewhere. */
	async drain(): Promise<void> {
		this.isStopping = true;
		this.server.close();
		this.server.closeIdleConnections();
		if (this.inFlight > 0) {
			await new Promise<void>(resolve => {
				this.onIdle = resolve;
			});
		}
	}

	/** Closes all connections. */
	async stop(): Promise<void> {
		await closeServer(this.server);
	}

	private async serve(req: IncomingMessage, res: ServerResponse): Promise<void> {
		const {counters} = this.options;
		counters.count(Counter.Requests);
		this.inFlight += 1;
		if (this.isStopping) {
			res.setHeader('connection', 'close');
		}

		try {
			const answer = await this.answer(req, res);
			counters.count(Counter.Answers);
			this.send(res, answer);
		} catch (err) {
			const error = toRequestError(err);
			counters.countRefusal(error.kind);
			this.closeUnread(req, res);
			sendRefusal(res, error);
		} finally {
			this.inFlight -= 1;
			if (this.inFlight === 0) {
				this.onIdle?.();
			}
		}
	}

	private async answer(req: IncomingMessage, res: ServerResponse): Promise<Answer> {
		const {router, limits, now, isReady} = this.options;
		if (!isReady()) {
			throw new RequestError(ErrorKind.NotReady);
		}

		const arrived = now();
		const method = req.method!;
		const path = req.url!;
		const match = router.match(method, path);
		if (match === undefined) {
			throw new RequestError(ErrorKind.NoRoute);
		}

		const {route, pool, key} = match;
		const requestId = readRequestId(req, route.repeat);
		const body = await readBody(req, {maxBytes: limits.body, timeoutMs: limits.bodyTimeout});
		const patience = readPatience(req, pool.timeout);
		const abort = new AbortController();
		res.once('close', () => {
			// Aborting after a whole answer would only cost time.
			if (!res.writableFinished) {
				abort.abort();
			}
		});
		const order: Order = {
			id: randomUUID(),
			method,
			path,
			headers: forwardableHeaders(req.headers),
			body,
			pool: pool.name,
			shard: router.findShard(pool, key),
			key: key ?? '',
			requestId,
			repeat: route.repeat,
			caller: headerText(req.headers, 'x-caller') || (req.socket.remoteAddress ?? ''),
			deadline: arrived + Math.min(patience, pool.timeout),
			signal: abort.signal,
		};
		return router.run(order);
	}

	private send(res: ServerResponse, answer: Answer): void {
		if (this.isStopping) {
			res.setHeader('connection', 'close');
		}

		res.writeHead(answer.status, {...forwardableHeaders(answer.headers), 'content-length': answer.body.length});
		res.end(answer.body);
	}

	/** A body that was not read to its end would be taken for the next request. */
	private closeUnread(req: IncomingMessage, res: ServerResponse): void {
		if (!req.complete && !res.headersSent) {
			res.setHeader('connection', 'close');
		}
	}
}

function readRequestId(req: IncomingMessage, repeat: Repeat): string {
	const value = req.headers['idempotency-key'];
	const id = typeof value === 'string' ? value : '';
	if (id.length > maxRequestIdLength) {
		throw new RequestError(ErrorKind.BadRequest, 'The idempotency key is too long.');
	}

	if (repeat === Repeat.Once && id === '') {
		throw new RequestError(ErrorKind.MissingRequestId);
	}

	return id;
}

function readPatience(req: IncomingMessage, fallbackMs: number): number {
	const value = req.headers['x-timeout-ms'];
	if (value === undefined) {
		return fallbackMs;
	}

	const patience = Number(value);
	if (!Number.isFinite(patience) || patience <= 0) {
		throw new RequestError(ErrorKind.BadRequest, 'x-timeout-ms is no positive number.');
	}

	return patience;
}
