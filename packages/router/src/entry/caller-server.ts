import {randomUUID} from 'node:crypto';
import {
	createServer, type IncomingMessage, type Server, type ServerResponse,
} from 'node:http';
import {
	ErrorKind, MemoryBudget, Repeat, RequestError,
} from '@bluebellyard/core';
import {Counter, type Counters} from '../metrics/index.js';
import type {Address, LimitSettings} from '../settings/index.js';
import {
	answerHeaders, headerText, forwardableHeaders, type Answer, type Order,
} from '../work/index.js';
import {Connections} from './connections.js';
import {listen, closeServer} from './listen.js';
import {readBody} from './read-body.js';
import {sendEarlyRefusal, sendRefusal, toRequestError} from './refusal.js';
import type {RequestRouter} from './request-router.js';

/** Maximum length of an idempotency key, in characters. */
const maxRequestIdLength = 200;

/** Kinds that callers are told when the end of a stop has aborted a request, by those of disconnected callers. */
const endedKinds: Readonly<Partial<Record<ErrorKind, ErrorKind>>> = {
	[ErrorKind.CallerDisconnected]: ErrorKind.ConnectionLost,
	[ErrorKind.CallerDisconnectedBeforeSend]: ErrorKind.Stopping,
};

/** Dependencies of `CallerServer`. */
export type CallerServerOptions = {
	readonly router: Pick<RequestRouter, 'match' | 'findShard' | 'run'>;
	readonly limits: LimitSettings;
	readonly counters: Counters;
	readonly now: () => number;
	/** Memory for what is held, shared with other servers of the instance; one of its own if undefined. */
	readonly budget?: MemoryBudget;
	/** Returns whether this instance has loaded the tables that it routes by. */
	readonly isReady: () => boolean;
};

/** A request whose answer is not written yet. */
type OpenRequest = {
	readonly abort: AbortController;
	/** Whether it was given to the router. */
	isPassedOn: boolean;
};

/** HTTP server for the requests of callers. */
export class CallerServer {
	private readonly server: Server;
	private readonly connections: Connections;
	private readonly budget: MemoryBudget;
	private readonly open = new Set<OpenRequest>();
	private isStopping = false;
	/** Whether requests are refused that are not passed on yet. */
	private isRefusing = false;
	/** Time after which no request can be answered. */
	private endsAt = Infinity;

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
		this.budget = options.budget ?? new MemoryBudget(limits.held);
		this.connections = new Connections(this.server, this.budget, limits.callers);
	}

	/** Starts to listen; resolves to the address with the port that was bound. */
	async start(addr: Address): Promise<string> {
		return listen(this.server, addr);
	}

	/** Number of requests whose answers are not written yet. */
	get inFlight(): number {
		return this.connections.inFlight;
	}

	/** Stops accepting connections; requests on open ones that can be answered by `endsAt` still are, with `connection: close`. */
	beginStop(endsAt = Infinity): void {
		this.isStopping = true;
		this.endsAt = endsAt;
		void this.connections.closePort();
	}

	/** Closes idle connections and waits until the requests in flight are answered. */
	async drain(): Promise<void> {
		await this.connections.drain();
	}

	/** Refuses new requests and those that have not arrived completely, as no time is left to run them. */
	refuseNew(): void {
		this.isRefusing = true;
		for (const {abort, isPassedOn} of this.open) {
			if (!isPassedOn) {
				abort.abort();
			}
		}
	}

	/** Ends the requests that are still running; their callers are told whether they may have run. */
	endOpen(): void {
		this.refuseNew();
		for (const {abort} of this.open) {
			abort.abort();
		}
	}

	/** Closes the server and all connections. */
	async stop(): Promise<void> {
		await closeServer(this.server);
	}

	private async serve(req: IncomingMessage, res: ServerResponse): Promise<void> {
		const {counters} = this.options;
		counters.count(Counter.Requests);
		const request = this.track(req, res);
		if (this.isStopping) {
			res.setHeader('connection', 'close');
		}

		try {
			const answer = await this.answer(req, res, request);
			counters.count(Counter.Answers);
			this.send(res, answer);
		} catch (err) {
			const error = this.toAnsweredError(req, toRequestError(err));
			counters.countRefusal(error.kind);
			await this.refuse(req, res, error);
		}
	}

	/** Adds a request until its answer is written or its connection closed. */
	private track(req: IncomingMessage, res: ServerResponse): OpenRequest {
		const request = {abort: new AbortController(), isPassedOn: false};
		this.open.add(request);
		this.connections.recordRequest(req, res);
		res.once('close', () => {
			this.open.delete(request);
		});
		return request;
	}

	/** Converts the error of a request that the end of a stop aborted to one that its caller is told. */
	private toAnsweredError({socket}: IncomingMessage, err: RequestError): RequestError {
		const kind = endedKinds[err.kind];
		return kind === undefined || !this.isRefusing || socket.destroyed ? err : new RequestError(kind, 'The instance stopped.');
	}

	private async answer(req: IncomingMessage, res: ServerResponse, request: OpenRequest): Promise<Answer> {
		const {router, limits, now, isReady} = this.options;
		if (!isReady()) {
			throw new RequestError(ErrorKind.NotReady);
		}

		const arrivedAt = now();
		this.checkTimeLeft();
		const method = req.method!;
		const path = req.url!;
		const match = router.match(method, path);
		if (match === undefined) {
			throw new RequestError(ErrorKind.NoRoute);
		}

		const {route, pool, key} = match;
		const requestId = readRequestId(req, route.repeat);
		const body = await readBody(req, {
			maxBytes: limits.body, timeoutMs: limits.bodyTimeout, signal: request.abort.signal, budget: this.budget, res,
		});
		this.checkTimeLeft();
		this.connections.recordBody(req.socket);
		const callerTimeoutMs = readCallerTimeout(req, pool.timeout);
		request.isPassedOn = true;
		const {abort} = request;
		res.once('close', () => {
			// After a complete answer there is nothing to abort, so the cost of aborting is avoided.
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
			deadline: Math.min(arrivedAt + Math.min(callerTimeoutMs, pool.timeout), this.endsAt),
			signal: abort.signal,
		};
		return router.run(order);
	}

	/** Throws when a request can no longer be run and answered before the end of the stop. */
	private checkTimeLeft(): void {
		if (this.isRefusing || this.options.now() >= this.endsAt) {
			throw new RequestError(ErrorKind.Stopping);
		}
	}

	private send(res: ServerResponse, answer: Answer): void {
		if (this.isStopping) {
			res.setHeader('connection', 'close');
		}

		const share = this.budget.open(() => {
			res.destroy();
		});
		res.once('close', () => {
			share.release();
		});
		share.update(answer.body.length);
		res.writeHead(answer.status, answerHeaders(answer));
		res.end(answer.body);
	}

	private async refuse(req: IncomingMessage, res: ServerResponse, err: RequestError): Promise<void> {
		if (!req.complete) {
			const {body, bodyTimeout} = this.options.limits;
			await sendEarlyRefusal(req, res, err, {maxBytes: body, timeoutMs: bodyTimeout});
			return;
		}

		if (this.isStopping && !res.headersSent) {
			res.setHeader('connection', 'close');
		}

		sendRefusal(res, err);
	}
}

function readRequestId(req: IncomingMessage, repeat: Repeat): string {
	const value = req.headers['idempotency-key'];
	const id = typeof value === 'string' ? value : '';
	if (id.length > maxRequestIdLength) {
		throw new RequestError(ErrorKind.BadRequest, 'The idempotency key is longer than 200 characters.');
	}

	if (repeat === Repeat.Once && id === '') {
		throw new RequestError(ErrorKind.MissingRequestId);
	}

	return id;
}

function readCallerTimeout(req: IncomingMessage, fallbackMs: number): number {
	const value = req.headers['x-timeout-ms'];
	if (value === undefined) {
		return fallbackMs;
	}

	const timeoutMs = Number(value);
	if (!Number.isFinite(timeoutMs) || timeoutMs <= 0) {
		throw new RequestError(ErrorKind.BadRequest, 'The x-timeout-ms header is not a positive number.');
	}

	return timeoutMs;
}
