import {
	createServer, type IncomingMessage, type Server, type ServerResponse,
} from 'node:http';
import {createServer as createTlsServer, type Server as TlsServer} from 'node:https';
import {ErrorKind, Repeat, RequestError} from '@bluebellyard/core';
import type {Address, LimitSettings, TlsFiles} from '../settings/index.js';
import {
	headerText, forwardableHeaders, type Answer, type Order,
} from '../work/index.js';
import {internalHeaders, formatLoad} from './forwarder.js';
import {closeServer, listen} from './listen.js';
import {readBody} from './read-body.js';
import {sendRefusal, toRequestError} from './refusal.js';
import type {StewardQueue} from './steward-queue.js';

/** What the server works with. */
export type InternalServerOptions = {
	readonly stewardQueue: Pick<StewardQueue, 'handle' | 'load'>;
	readonly limits: LimitSettings;
	readonly tls: TlsFiles | undefined;
	readonly now: () => number;
};

/** Room for the headers that this system adds, in bytes. */
const ownHeaderBytes = 4096;

/** Takes orders that other instances forward to this one as the steward. */
export class InternalServer {
	private readonly server: Server | TlsServer;

	constructor(private readonly options: InternalServerOptions) {
		const {tls, limits} = options;
		const common = {maxHeaderSize: limits.headers + ownHeaderBytes, keepAliveTimeout: limits.idleTimeout};
		const serve = (req: IncomingMessage, res: ServerResponse) => {
			void this.serve(req, res);
		};

		this.server = tls === undefined
			? createServer(common, serve)
			: createTlsServer({
				...common, ...tls, requestCert: true, rejectUnauthorized: true,
			}, serve);
	}

	/** Listens; resolves to the address with its real port. */
	async start(addr: Address): Promise<string> {
		return listen(this.server, addr);
	}

	/** Uses other keys for new connections. */
	updateTls(tls: TlsFiles): void {
		if ('setSecureContext' in this.server) {
			this.server.setSecureContext(tls);
		}
	}

	/** Closes all connections. */
	async stop(): Promise<void> {
		await closeServer(this.server);
	}

	private async serve(req: IncomingMessage, res: ServerResponse): Promise<void> {
		const target = headerText(req.headers, internalHeaders.target);
		try {
			const answer = await this.answer(req, res, target);
			this.addLoad(res, target);
			res.writeHead(answer.status, {...forwardableHeaders(answer.headers), 'content-length': answer.body.length});
			res.end(answer.body);
		} catch (err) {
			const error = toRequestError(err);
			if (!res.headersSent) {
				this.addLoad(res, target);
				res.setHeader(internalHeaders.reason, error.kind);
			}

			sendRefusal(res, error);
		}
	}

	private async answer(req: IncomingMessage, res: ServerResponse, target: string): Promise<Answer> {
		const {limits, stewardQueue: desk, now} = this.options;
		const arrived = now();
		const {headers} = req;
		const left = Number(headerText(headers, internalHeaders.left));
		const id = headerText(headers, internalHeaders.order);
		if (id === '' || target === '' || !Number.isFinite(left)) {
			throw new RequestError(ErrorKind.BadRequest);
		}

		const body = await readBody(req, {maxBytes: limits.body, timeoutMs: left});
		const abort = new AbortController();
		res.once('close', () => {
			// Aborting after a whole answer would only cost time.
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
			deadline: arrived + left,
			signal: abort.signal,
		};
		return desk.handle(target, order);
	}

	private addLoad(res: ServerResponse, target: string): void {
		const load = this.options.stewardQueue.load(target);
		if (load !== undefined) {
			res.setHeader(internalHeaders.load, formatLoad(load));
		}
	}
}
