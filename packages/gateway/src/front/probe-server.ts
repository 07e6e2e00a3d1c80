import {createServer, type Server} from 'node:http';
import {listen} from '../net/index.js';

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

	constructor(handler: ProbeHandler) {
		this.server = createServer((req, res) => {
			handler(req.url ?? '/').then(answer => {
				res.writeHead(answer?.status ?? 404, {'content-type': answer?.type ?? 'text/plain'});
				res.end(answer?.body ?? '');
			}, (err: unknown) => {
				res.writeHead(500);
				res.end(String(err));
			});
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
