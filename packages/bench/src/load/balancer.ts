import {Pool, type Dispatcher} from 'undici';

/** How long an address is skipped after a failed connection, in milliseconds. */
const skipMs = 1000;
const connectTimeoutMs = 1000;

/** Error codes of undici and Node.js for connections that could not be established. */
const connectErrors = new Set([
	'ECONNREFUSED', 'EHOSTUNREACH', 'ENETUNREACH', 'ETIMEDOUT', 'UND_ERR_CONNECT_TIMEOUT',
]);

/** Returns whether an error proves that no byte of the request was sent. */
export function isConnectError(err: unknown): boolean {
	return err instanceof Error && 'code' in err && connectErrors.has(String(err.code));
}

/** An address of the balancer. */
export type Backend = {
	readonly addr: string;
	readonly dispatcher: Dispatcher;
	/** End of the time in which the address is skipped, in milliseconds. */
	skippedUntil: number;
};

/** Simulates the platform's load balancer: round robin over the addresses that accept connections. */
export class Balancer {
	private readonly backends: Backend[];
	private nextIndex = 0;

	constructor(addrs: readonly string[], connections = 256) {
		this.backends = addrs.map(addr => ({
			addr,
			dispatcher: new Pool(`http://${addr}`, {
				connections, connect: {timeout: connectTimeoutMs}, headersTimeout: 0, bodyTimeout: 0,
			}),
			skippedUntil: 0,
		}));
	}

	/** Number of addresses. */
	get size(): number {
		return this.backends.length;
	}

	/** Returns the next address to use at `now`; if all are skipped, the next in rotation. */
	pick(now: number): Backend {
		const start = this.nextIndex++ % this.backends.length;
		const rotated = [...this.backends.slice(start), ...this.backends.slice(0, start)];
		return rotated.find(backend => backend.skippedUntil <= now) ?? rotated[0];
	}

	/** Records that a connection to an address failed at `now`. */
	recordConnectError(backend: Backend, now: number): void {
		backend.skippedUntil = now + skipMs;
	}

	/** Closes all connections. */
	async close(): Promise<void> {
		await Promise.all(this.backends.map(async backend => backend.dispatcher.destroy()));
	}
}
