import {createServer, type Server} from 'node:http';
import {listen} from '../net/index.js';

/** What a probe asks for. */
export type ProbeAnswer = {
	readonly status: number;
	readonly type: string;
	readonly body: string;
};

/** Answers a path of a small HTTP server; undefined for a path that it does not know. */
export type ProbeHandler = (path: string) => Promise<ProbeAnswer | undefined>;

/** A small HTTP server for health checks or metrics. */
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

	/** Listens. */
	async start(host: string, port: number): Promise<number> {
		return listen(this.server, host, port);
	}

	/** Closes everything at once. */
	close(): void {
		this.server.close();
		this.server.closeAllConnections();
	}
}
