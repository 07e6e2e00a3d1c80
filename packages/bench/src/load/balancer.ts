import {Pool, type Dispatcher} from 'undici';

/** Time for which an address that refused a connection is passed over, in milliseconds. */
const skipMs = 1000;
const connectTimeoutMs = 1000;

/** Error codes of undici and node for connections that never came about. */
const connectErrors = new Set([
	'ECONNREFUSED', 'EHOSTUNREACH', 'ENETUNREACH', 'ETIMEDOUT', 'UND_ERR_CONNECT_TIMEOUT',
]);

/** Whether an error shows that no byte was sent. */
export function isConnectError(err: unknown): boolean {
	return err instanceof Error && 'code' in err && connectErrors.has(String(err.code));
}

/** One address of the balancer. */
export type Backend = {
	readonly addr: string;
	readonly dispatcher: Dispatcher;
	/** Time until which it is passed over, in milliseconds. */
	passedOverUntil: number;
};

/** Stands for the platform's balancer: round robin over addresses that accept connections. */
export class Balancer {
	private readonly backends: Backend[];
	private nextIndex = 0;

	constructor(addrs: readonly string[], connections = 256) {
		this.backends = addrs.map(addr => ({
			addr,
			dispatcher: new Pool(`http://${addr}`, {
				connections, connect: {timeout: connectTimeoutMs}, headersTimeout: 0, bodyTimeout: 0,
			}),
			passedOverUntil: 0,
		}));
	}

	/** Number of addresses. */
	get size(): number {
		return this.backends.length;
	}

	/** Next address at `now`. */
	pick(now: number): Backend {
		const first = this.nextIndex++ % this.backends.length;
		const inTurn = [...this.backends.slice(first), ...this.backends.slice(0, first)];
		return inTurn.find(backend => backend.passedOverUntil <= now) ?? inTurn[0];
	}

	/** Notes that an address refused a connection at `now`. */
	passOver(backend: Backend, now: number): void {
		backend.passedOverUntil = now + skipMs;
	}

	/** Closes all connections. */
	async close(): Promise<void> {
		await Promise.all(this.backends.map(async backend => backend.dispatcher.destroy()));
	}
}
