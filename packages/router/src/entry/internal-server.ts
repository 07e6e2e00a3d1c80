import {
	createServer, type IncomingMessage, type Server, type ServerResponse,
} from 'node:http';
import {createServer as createTlsServer, type Server as TlsServer} from 'node:https';
import {
	ErrorKind, MemoryBudget, Repeat, RequestError,
} from '@bluebellyard/core';
import type {Address, LimitSettings, TlsFiles} from '../settings/index.js';
import {
	answerHeaders, headerText, forwardableHeaders, type Answer, type Order,
} from '../work/index.js';
import {Connections} from './connections.js';
import {internalHeaders, formatLoad} from './forwarder.js';
import {closeServer, listen} from './listen.js';
import {readBody} from './read-body.js';
import {sendRefusal, toRequestError} from './refusal.js';
import type {StewardExecutor} from './steward-executor.js';

/** Dependencies of `InternalServer`. */
export type InternalServerOptions = {
	readonly stewardExecutor: Pick<StewardExecutor, 'handle' | 'load'>;
	readonly limits: LimitSettings;
	readonly tls: TlsFiles | undefined;
	readonly now: () => number;
	/** Memory for what is held, shared with other servers of the instance; one of its own if undefined. */
	readonly budget?: MemoryBudget;
};

/** Additional header size allowed for the headers that instances add, in bytes. */
const internalHeaderBytes = 4096;

/** HTTP server for orders that other instances forward to this one as the steward of their targets. */
export class InternalServer {
	private readonly server: Server | TlsServer;
	private readonly connections: Connections;
	private readonly budget: MemoryBudget;
	private isStopping = false;

	constructor(private readonly options: InternalServerOptions) {
		const {tls, limits} = options;
		const common = {maxHeaderSize: limits.headers + internalHeaderBytes, keepAliveTimeout: limits.idleTimeout};
		const serve = (req: IncomingMessage, res: ServerResponse) => {
			void this.serve(req, res);
		};

		this.server = tls === undefined
			? createServer(common, serve)
			: createTlsServer({
				...common, ...tls, requestCert: true, rejectUnauthorized: true,
			}, serve);
		this.budget = options.budget ?? new MemoryBudget(options.limits.held);
		this.connections = new Connections(this.server, this.budget);
	}

	/** Starts to listen; resolves to the address with the port that was bound. */
	async start(addr: Address): Promise<string> {
		return listen(this.server, addr);
	}

	/** Uses the given keys and certificates for new connections. */
	updateTls(tls: TlsFiles): void {
		if ('setSecureContext' in this.server) {
			this.server.setSecureContext(tls);
		}
	}

	/** Lets each answer close its connection, so that no order is on its way when the server is closed. */
	beginStop(): void {
		this.isStopping = true;
	}

	/** Stops accepting connections, closes idle ones and waits until the orders in flight are answered. */
	async drain(): Promise<void> {
		this.beginStop();
		await this.connections.closePort();
		await this.connections.drain();
	}

	/** Closes the server and all connections. */
	async stop(): Promise<void> {
		await closeServer(this.server);
	}

	private async serve(req: IncomingMessage, res: ServerResponse): Promise<void> {
		const target = headerText(req.headers, internalHeaders.target);
		this.connections.recordRequest(req, res);
		try {
			const answer = await this.answer(req, res, target);
			this.prepareAnswer(res, target);
			res.writeHead(answer.status, answerHeaders(answer));
			res.end(answer.body);
		} catch (err) {
			const error = toRequestError(err);
			if (!res.headersSent) {
				this.prepareAnswer(res, target);
				res.setHeader(internalHeaders.reason, error.kind);
			}

			sendRefusal(res, error);
		}
	}

	private async answer(req: IncomingMessage, res: ServerResponse, target: string): Promise<Answer> {
		const {limits, stewardExecutor, now} = this.options;
		const arrivedAt = now();
		const {headers} = req;
		const remainingMs = Number(headerText(headers, internalHeaders.left));
		const id = headerText(headers, internalHeaders.order);
		if (id === '' || target === '' || !Number.isFinite(remainingMs)) {
			throw new RequestError(ErrorKind.BadRequest);
		}

		const body = await readBody(req, {
			maxBytes: limits.body, timeoutMs: remainingMs, budget: this.budget, res,
		});
		this.connections.recordBody(req.socket);
		const abort = new AbortController();
		res.once('close', () => {
			// After a complete answer there is nothing to abort, so the cost of aborting is avoided.
			if (!res.writableFinished) {
				abort.abort();
			}
		});
		const order: Order = {
			id,
			method: req.method!,
			path: req.url!,
			headers: forwardableHeaders(req.headers),
			body,
			pool: headerText(headers, internalHeaders.pool),
			shard: Number(headerText(headers, internalHeaders.shard)),
			key: decodeURIComponent(headerText(headers, internalHeaders.key)),
			requestId: headerText(headers, internalHeaders.request),
			repeat: headerText(headers, internalHeaders.once) === '1' ? Repeat.Once : Repeat.Idempotent,
			caller: headerText(headers, internalHeaders.caller),
			mayWait: headerText(headers, internalHeaders.wait) !== '0',
			deadline: arrivedAt + remainingMs,
			signal: abort.signal,
		};
		return stewardExecutor.handle(target, order);
	}

	private prepareAnswer(res: ServerResponse, target: string): void {
		if (this.isStopping) {
			res.setHeader('connection', 'close');
		}

		const load = this.options.stewardExecutor.load(target);
		if (load !== undefined) {
			res.setHeader(internalHeaders.load, formatLoad(load));
		}
	}
}
