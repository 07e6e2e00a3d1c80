import {once} from 'node:events';
import {
	createServer, type IncomingMessage, type Server, type ServerResponse,
} from 'node:http';
import type {AddressInfo} from 'node:net';
import {text} from 'node:stream/consumers';
import {LogTruncated} from '../log-service/index.js';
import type {FakeLog} from './fake-log.js';

/** Serves a `FakeLog` over HTTP on an ephemeral loopback port. A failing call closes its connection. */
export class FakeLogServer {
	private readonly server: Server;

	constructor(private readonly log: FakeLog) {
		this.server = createServer((req, res) => {
			void this.handle(req, res);
		});
	}

	/** Starts the server and returns its base URL. */
	async start(): Promise<string> {
		this.server.listen(0, '127.0.0.1');
		await once(this.server, 'listening');
		// eslint-disable-next-line @typescript-eslint/no-unsafe-type-assertion
		const {port} = this.server.address() as AddressInfo;
		return `http://127.0.0.1:${port}`;
	}

	/** Stops the server and closes all connections. */
	async stop(): Promise<void> {
		this.server.closeAllConnections();
		this.server.close();
		await once(this.server, 'close');
	}

	private async handle(req: IncomingMessage, res: ServerResponse): Promise<void> {
		try {
			const body = await text(req);
			res.end(JSON.stringify(await this.getAnswer(req, body)));
		} catch (err) {
			if (err instanceof LogTruncated) {
				res.statusCode = 410;
				res.end(JSON.stringify({first: err.first, next: err.next}));
				return;
			}

			res.destroy();
		}
	}

	private async getAnswer(req: IncomingMessage, body: string): Promise<unknown> {
		if (req.method === 'POST') {
			// eslint-disable-next-line @typescript-eslint/no-unsafe-type-assertion
			const {records} = JSON.parse(body) as {records: string[]};
			return {first: await this.log.append(records)};
		}

		const {searchParams} = new URL(req.url ?? '/', 'http://log');
		const parameter = (name: string) => Number(searchParams.get(name));
		return this.log.read(parameter('from'), parameter('limit'), parameter('wait'));
	}
}
