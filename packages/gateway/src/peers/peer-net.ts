import {
	connect, createServer, type Server, type Socket,
} from 'node:net';
import type {Clock} from '@bluebellyard/core';
import {listen} from '../net/index.js';
import {noBytes, type Message} from './frames.js';
import {
	LinkError, PeerLink, type CallHandler, type CallOptions,
} from './peer-link.js';
import {SilenceChecks} from './silence-checks.js';

/** Timeout for opening a connection to another instance, in milliseconds. A lost packet is retransmitted after about 200 ms in fast networks and 1 s in slow ones. */
const connectTimeoutMs = 400;

/** Time after a failed connection during which no new one is attempted, in milliseconds. */
const reconnectDelayMs = 200;

type Outgoing = {
	readonly link: Promise<PeerLink>;
	failedAt: number | undefined;
};

/** Connections to the other instances. */
export class PeerNet {
	private readonly outgoing = new Map<string, Outgoing>();
	private readonly incoming = new Set<PeerLink>();
	private readonly server: Server;
	private readonly checks: SilenceChecks;

	/** `isFar` returns whether an address is in another failure domain. */
	constructor(private readonly handler: CallHandler, private readonly clock: Clock, private readonly isFar: (addr: string) => boolean = () => false) {
		this.checks = new SilenceChecks(clock);
		this.server = createServer(socket => {
			this.accept(socket);
		});
	}

	/** Starts to listen for other instances. Resolves to the port. */
	async start(host: string, port: number): Promise<number> {
		return listen(this.server, host, port);
	}

	/** Calls an operation of the instance at an address. Rejects with a `LinkError`. */
	async call(addr: string, op: string, value: unknown, options: CallOptions = {}): Promise<unknown> {
		const reply = await this.exchange(addr, op, {value, bytes: noBytes}, options);
		return reply.value;
	}

	/** Does the same as `call` with a body in both directions. */
	async exchange(addr: string, op: string, message: Message, options: CallOptions = {}): Promise<Message> {
		const link = await this.link(addr);
		link.setCompressed(this.isFar(addr));
		return link.call(op, message, options);
	}

	/** Returns whether a connection to the address failed recently. */
	isUnreachable(addr: string): boolean {
		const failedAt = this.outgoing.get(addr)?.failedAt;
		return failedAt !== undefined && this.clock.now() - failedAt < reconnectDelayMs;
	}

	/** Closes the server and all connections. */
	close(): void {
		this.server.close();
		for (const {link} of this.outgoing.values()) {
			link.then(opened => {
				opened.close();
			}, () => undefined);
		}

		for (const link of this.incoming) {
			link.close();
		}
	}

	private accept(socket: Socket): void {
		const link: PeerLink = new PeerLink(socket, this.handler, this.checks, () => {
			this.incoming.delete(link);
		});
		this.incoming.add(link);
	}

	private async link(addr: string): Promise<PeerLink> {
		const existing = this.outgoing.get(addr);
		if (existing !== undefined && (existing.failedAt === undefined || this.isUnreachable(addr))) {
			return existing.link;
		}

		const entry: Outgoing = {
			link: this.open(addr, () => {
				if (this.outgoing.get(addr) === entry) {
					this.outgoing.delete(addr);
				}
			}),
			failedAt: undefined,
		};
		this.outgoing.set(addr, entry);
		entry.link.catch(() => {
			entry.failedAt = this.clock.now();
		});
		return entry.link;
	}

	private async open(addr: string, onDown: () => void): Promise<PeerLink> {
		const colon = addr.lastIndexOf(':');
		const socket = connect({host: addr.slice(0, colon), port: Number(addr.slice(colon + 1))});
		return new Promise((resolve, reject) => {
			const fail = (reason: string) => {
				clearTimeout(timer);
				socket.destroy();
				reject(new LinkError(reason, false));
			};

			const timer = setTimeout(() => {
				fail('connection timed out');
			}, connectTimeoutMs);
			socket.once('error', err => {
				fail(err.message);
			});
			socket.once('connect', () => {
				clearTimeout(timer);
				socket.removeAllListeners('error');
				resolve(new PeerLink(socket, this.handler, this.checks, onDown));
			});
		});
	}
}
