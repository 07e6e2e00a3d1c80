import {
	createServer, type IncomingMessage, type Server, type ServerResponse,
} from 'node:http';
import {setTimeout as sleep} from 'node:timers/promises';
import {type Clock} from '@bluebellyard/core';
import type {z} from 'zod';
import {DownMode, type CommonFaults} from './common-faults.js';
import {readJson, sendJson} from './json-body.js';
import {machineClock} from './machine-clock.js';

/** Listen address and clock of a stand-in. */
export type HostOptions = {
	/** IP address; loopback by default. */
	readonly host?: string;
	/** Port; 0 for an ephemeral one. */
	readonly port?: number;
	readonly clock?: Clock;
};

/** Definition of the fault switches of one kind of stand-in. */
export type FaultSwitches<Faults extends CommonFaults> = {
	/** Path to which changes are posted. */
	readonly path: string;
	readonly schema: z.ZodType<Partial<Faults>>;
	/** All switches off. */
	readonly none: Faults;
};

/** HTTP server that stands in for a real service, with switchable faults. */
export abstract class HttpStandIn<Faults extends CommonFaults> {
	/** Current faults. Change them with `setFaults`. */
	faults: Faults;
	protected readonly clock: Clock;
	private readonly active = new Map<IncomingMessage, ServerResponse>();
	private readonly host: string;
	private port: number;
	private server: Server | undefined;
	private reopenTimer: NodeJS.Timeout | undefined;

	protected constructor(options: HostOptions, private readonly switches: FaultSwitches<Faults>) {
		this.host = options.host ?? '127.0.0.1';
		this.port = options.port ?? 0;
		this.clock = options.clock ?? machineClock;
		this.faults = {...switches.none};
	}

	/** Address as `ip:port`. An ephemeral port is known only after `start`. */
	get addr(): string {
		return `${this.host}:${this.port}`;
	}

	/** Starts to listen. Resolves once connections are accepted. */
	async start(): Promise<void> {
		const server = createServer({keepAlive: true}, (req, res) => {
			void this.serve(req, res);
		});
		server.keepAliveTimeout = 0;
		await new Promise<void>((resolve, reject) => {
			server.once('error', reject);
			server.listen(this.port, this.host, resolve);
		});
		this.server = server;
		this.port = getPort(server);
	}

	/** Closes the listener and all connections. */
	async stop(): Promise<void> {
		clearTimeout(this.reopenTimer);
		await this.close();
	}

	/** Changes the given fault switches. */
	async setFaults(change: Partial<Faults>): Promise<void> {
		const previous = this.faults.down;
		Object.assign(this.faults, change);
		if (previous !== DownMode.Refused && this.faults.down === DownMode.Refused) {
			await this.refuseConnections();
		} else if (previous === DownMode.Refused && this.faults.down !== DownMode.Refused) {
			clearTimeout(this.reopenTimer);
			await this.start();
		}

		for (const [req] of this.active) {
			if (this.isCut(req)) {
				req.socket.destroy();
			}
		}
	}

	/** Destroys the connections of all requests being served. */
	protected destroyActive(): void {
		for (const [req] of this.active) {
			req.socket.destroy();
		}
	}

	/** Handles one request that was not stopped by a common fault. */
	protected abstract handle(req: IncomingMessage, res: ServerResponse): void | Promise<void>;

	private async serve(req: IncomingMessage, res: ServerResponse): Promise<void> {
		try {
			if (req.url === this.switches.path) {
				await this.handleFaults(req, res);
				return;
			}

			this.active.set(req, res);
			res.once('close', () => {
				this.active.delete(req);
			});
			await this.handleUnderFaults(req, res);
		} catch (err) {
			if (res.headersSent || req.socket.destroyed) {
				req.socket.destroy();
			} else {
				sendJson(res, 400, {error: String(err)});
			}
		}
	}

	private async handleUnderFaults(req: IncomingMessage, res: ServerResponse): Promise<void> {
		if (this.faults.slowMs > 0) {
			await sleep(this.faults.slowMs);
		}

		if (this.isCut(req)) {
			req.socket.destroy();
		} else if (this.faults.down === DownMode.Unavailable) {
			sendJson(res, 503, {error: 'down'});
		} else {
			await this.handle(req, res);
		}
	}

	private async handleFaults(req: IncomingMessage, res: ServerResponse): Promise<void> {
		if (req.method === 'POST') {
			const change = this.switches.schema.parse(await readJson(req));
			res.once('finish', () => {
				void this.setFaults(change);
			});
			sendJson(res, 200, {...this.faults, ...change});
			return;
		}

		sendJson(res, 200, this.faults);
	}

	private isCut(req: IncomingMessage): boolean {
		const from = req.headers['x-from'];
		const isNamed = typeof from === 'string' && this.faults.cut.includes(from);
		return isNamed || this.faults.down === DownMode.Reset;
	}

	private async refuseConnections(): Promise<void> {
		await this.close();
		if (this.faults.refusedMs > 0) {
			this.reopenTimer = setTimeout(() => {
				this.faults.down = DownMode.None;
				void this.start();
			}, this.faults.refusedMs);
		}
	}

	private async close(): Promise<void> {
		const {server} = this;
		this.server = undefined;
		if (!server) {
			return;
		}

		await new Promise<void>(resolve => {
			server.close(() => {
				resolve();
			});
			server.closeAllConnections();
		});
	}
}

function getPort(server: Server): number {
	const addr = server.address();
	if (addr === null || typeof addr === 'string') {
		throw new Error('the server does not listen on a TCP port');
	}

	return addr.port;
}
