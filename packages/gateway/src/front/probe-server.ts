import {createServer, type Server} from 'node:http';
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
					const body = answer?.body ?? '';
					holdAnswer(res, body.length, options.budget);
					res.writeHead(answer?.status ?? 404, {'content-type': answer?.type ?? 'text/plain'});
					res.end(body);
				}, (err: unknown) => {
					res.writeHead(500);
					res.end(String(err));
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
