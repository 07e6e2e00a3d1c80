import {Buffer} from 'node:buffer';
import {createServer, type Server, type ServerResponse} from 'node:http';
import {listen} from '../net/index.js';
import {CallerConnections, type ConnectionsOptions} from './caller-connections.js';
import {holdAnswer} from './hold-answer.js';

/** Answer to a probe. */
export type ProbeAnswer = {
	readonly status: number;
	readonly type: string;
	readonly body: string;
};

/** Returns the answer for a path, or undefined for an unknown path. */
export type ProbeHandler = (path: string) => Promise<ProbeAnswer | undefined>;

/** Minimal HTTP server for health checks and metrics. */
export class ProbeServer {
	private readonly server: Server;

	constructor(handler: ProbeHandler, options: ConnectionsOptions) {
		const connections = new CallerConnections(options);
		this.server = createServer((req, res) => {
			connections.startInTurn(req.socket, () => {
				res.once('close', () => {
					connections.recordAnswer(req.socket);
				});
				handler(req.url ?? '/').then(answer => {
					const body = Buffer.from(answer?.body ?? '');
					holdAnswer(res, body.length, options.budget);
					send(res, answer?.status ?? 404, answer?.type ?? 'text/plain', body);
				}, (err: unknown) => {
					send(res, 500, 'text/plain', Buffer.from(String(err)));
				});
			});
		});
		this.server.on('connection', socket => {
			connections.add(socket);
		});
	}

	/** Starts to listen. Resolves to the port. */
	async start(host: string, port: number): Promise<number> {
		return listen(this.server, host, port);
	}

	/** Closes all connections immediately. */
	close(): void {
		this.server.close();
		this.server.closeAllConnections();
	}
}

/** Sends an answer with its length: without one, a caller of HTTP/1.0 takes the end of this process for that of the answer. */
function send(res: ServerResponse, status: number, type: string, body: Buffer): void {
	res.writeHead(status, {'content-type': type, 'content-length': body.length});
	res.end(body);
}
