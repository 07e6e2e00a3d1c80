import {randomUUID} from 'node:crypto';
import {
	connect, createServer, type Server, type Socket,
} from 'node:net';
import {MemoryBudget, type Clock} from '@bluebellyard/core';
import {listen, sleep} from '../net/index.js';
import {noBytes, type Message} from './frames.js';
import {LinkError} from './link-error.js';
import type {CallHandler, CallOptions} from './call-handler.js';
import {PeerLink} from './peer-link.js';
import {SilenceChecks} from './silence-checks.js';

/** Timeout for opening a connection to another instance, in milliseconds. A lost packet is retransmitted after about 200 ms in fast networks and 1 s in slow ones. */
const connectTimeoutMs = 400;

/** Time after a failed connection during which no new one is attempted, in milliseconds. */
const reconnectDelayMs = 200;

/** Operation that ends an incoming link, given its name, and replies with the number of the last call received on it. */
const endLinkOp = 'end-link';

/** Timeout of that operation, in milliseconds; a caller waits for it. */
const endLinkTimeoutMs = 300;

/** Largest number of lost links that are remembered; calls on older ones count as received. */
const maxLostLinks = 512;

/** Options of the connections to other instances. */
export type PeerNetOptions = {
	/** Returns whether an address is in another failure domain. */
	readonly isFar?: (addr: string) => boolean;
	/** What is held of messages counts towards it. */
	readonly budget?: MemoryBudget;
	/** Largest number of connections that other instances may have open here. */
	readonly maxIncoming?: number;
	/** Largest number of those on which nobody has named itself. */
	readonly maxUnnamed?: number;
};

type Outgoing = {
	readonly link: Promise<PeerLink>;
	failedAt: number | undefined;
};

/** Connections to the other instances. */
export class PeerNet {
	private readonly outgoing = new Map<string, Outgoing>();
	private readonly incoming = new Set<PeerLink>();
	/** Number of the last call received on each lost incoming link, by its name. */
	private readonly lost = new Map<string, number>();
	private readonly server: Server;
	private readonly checks: SilenceChecks;

	private readonly isFar: (addr: string) => boolean;
	private readonly budget: MemoryBudget;
	private readonly maxIncoming: number;
	private readonly maxUnnamed: number;

	constructor(
		private readonly handler: CallHandler,
		private readonly clock: Clock,
		{isFar = () => false, budget = new MemoryBudget(Number.POSITIVE_INFINITY), maxIncoming = Number.POSITIVE_INFINITY, maxUnnamed = Number.POSITIVE_INFINITY}: PeerNetOptions = {},
	) {
		this.isFar = isFar;
		this.budget = budget;
		this.maxIncoming = maxIncoming;
		this.maxUnnamed = maxUnnamed;
		this.checks = new SilenceChecks(clock);
		this.server = createServer(socket => {
			this.accept(socket);
		});
	}

	/** Starts to listen for other instances. Resolves to the port. */
	async start(host: string, port: number): Promise<number> {
		return listen(this.server, host, port);
	}

	/** Whether calls of other instances run here, or replies to them are not written yet. */
	get hasReplies(): boolean {
		return [...this.incoming].some(link => link.hasReplies);
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

	/**
	 * Accepts no further calls, and closes each connection of another instance when its calls are answered and the replies
	 * are written. Resolves when they are closed, at the latest after `timeoutMs`; then all connections are closed.
	 */
	async stop(timeoutMs: number): Promise<void> {
		this.server.close();
		const closed = Promise.all([...this.incoming].map(async link => new Promise<void>(resolve => {
			link.whenDown(resolve);
			link.stop();
		})));
		await Promise.race([closed, sleep(timeoutMs)]);
		this.close();
	}

	/** Closes the server and all connections immediately. */
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
		// Instances name their links at once.
		const unnamed = [...this.incoming].filter(({name}) => name === undefined);
		if (unnamed.length >= this.maxUnnamed || (unnamed.length > 0 && this.incoming.size >= this.maxIncoming)) {
			unnamed[0].close();
		} else if (this.incoming.size >= this.maxIncoming) {
			socket.destroy();
			return;
		}

		this.incoming.add(new PeerLink(socket, async (op, message, signal, link) => op === endLinkOp
			? {value: this.endLink(String(message.value)), bytes: noBytes}
			: this.handler(op, message, signal, link), this.checks, {
			budget: this.budget,
			onDown: link => {
				this.incoming.delete(link);
				this.recordLost(link);
			},
		}));
	}

	/**
	 * Ends an incoming link, so that no further call on it is received. Returns the number of the last one; null if the link is
	 * not known, as its name did not arrive or a former process had it.
	 */

	private endLink(name: string): number | null {
		for (const link of this.incoming) {
			if (link.name === name) {
				link.close();
			}
		}

		return this.lost.get(name) ?? null;
	}

	private recordLost({name, lastReceived}: PeerLink): void {
		if (name === undefined || this.lost.has(name)) {
			return;
		}

		this.lost.set(name, lastReceived);
		if (this.lost.size > maxLostLinks) {
			const [oldest] = this.lost.keys();
			this.lost.delete(oldest);
		}
	}

	/** Resolves to the number of the last call that the instance at an address received on a lost link; undefined if it does not know. */
	private async countReceived(addr: string, name: string): Promise<number | undefined> {
		try {
			const reply = await this.call(addr, endLinkOp, name, {timeoutMs: endLinkTimeoutMs});
			return typeof reply === 'number' ? reply : undefined;
		} catch {
			// The instance can't be reached, so that the calls may have been received.
			return undefined;
		}
	}

	private async link(addr: string): Promise<PeerLink> {
		const existing = this.outgoing.get(addr);
		if (existing !== undefined && (existing.failedAt === undefined || this.isUnreachable(addr))) {
			return existing.link;
		}

		const entry: Outgoing = {
			link: this.open(addr, () => {
				// Further calls open a new connection.
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

	private async open(addr: string, onUnusable: () => void): Promise<PeerLink> {
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
				const name = randomUUID();
				let received: Promise<number | undefined> | undefined;
				const link = new PeerLink(socket, this.handler, this.checks, {
					budget: this.budget,
					onStop: onUnusable,
					onDown: onUnusable,
					countReceived: async () => {
						received ??= this.countReceived(addr, name);
						return received;
					},
				});
				link.sendName(name);
				resolve(link);
			});
		});
	}
}
