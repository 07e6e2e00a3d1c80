/**
 * Sends single requests to targets and classifies their answers.
 */
import {buildConnector} from 'undici';
import {AttemptOutcome, MemoryBudget, type Clock} from '@bluebellyard/core';
import {TrackedClient} from '@bluebellyard/http-client';
import type {Wire} from '../ports/index.js';
import {Exchange, type ExchangeOptions} from './exchange.js';
import type {TargetRequest, TargetResult} from './target-result.js';

/** Longest idle time after which a connection may carry a request that must run at most once, in milliseconds; no target closes an idle connection this early. */
const reuseForOnceMs = 50;

/** Timeout for opening a connection to a target, in milliseconds; it does not wait for the retransmission of a lost first packet. */
const connectTimeoutMs = 350;

/** Time for which an idle connection is kept if the target announces none, in milliseconds. */
const keepAliveMs = 4000;

/** Longest time for which an idle connection is kept, in milliseconds; targets may close it earlier than they announce. */
const maxKeepAliveMs = 8000;

/** Largest header block of an answer, in bytes. */
const maxHeaderBytes = 65_536;

/** Further options of a client. */
export type TargetClientOptions = Partial<Pick<ExchangeOptions, 'budget' | 'onUnverified'>> & {
	/** IP address to connect from; the system selects one if it is undefined. */
	readonly localAddress?: string | undefined;
};

type IdleConnection = {
	readonly client: TrackedClient;
	/** When its last answer ended, in monotonic milliseconds. */
	readonly since: number;
};

/** Sends requests to targets and keeps idle connections for reuse. */
export class TargetClient {
	private readonly wire: Wire;
	private readonly clock: Clock;
	private readonly localAddress: string | undefined;
	/** Idle connections by address, the most recently used one last. */
	private readonly idle = new Map<string, IdleConnection[]>();
	private opened = 0;
	private readonly exchangeOptions: ExchangeOptions;
	private readonly connector = buildConnector({timeout: connectTimeoutMs});

	constructor(wire: Wire, clock: Clock, {localAddress, budget = new MemoryBudget(Number.POSITIVE_INFINITY), onUnverified}: TargetClientOptions = {}) {
		this.localAddress = localAddress;
		this.exchangeOptions = {wire, budget, onUnverified};
		this.wire = wire;
		this.clock = clock;
	}

	/** Number of connections opened so far. */
	get connectionsOpened(): number {
		return this.opened;
	}

	/** Sends a request and waits for the complete answer. Never rejects. */
	async send(req: TargetRequest): Promise<TargetResult> {
		const client = this.acquire(req);
		const exchange = new Exchange(req, this.exchangeOptions);
		exchange.send(client, {
			method: req.method,
			path: req.path,
			headers: this.wire.toTarget(req.headers, {
				requestId: req.requestId, timeLeftMs: req.timeLeftMs, target: req.target, team: req.team,
			}),
			body: req.body.length === 0 ? null : req.body,
		});
		const result = await exchange.result;
		this.release(req, client, result);
		return result;
	}

	/** Closes all idle connections immediately. */
	async close(): Promise<void> {
		const clients = [...this.idle.values()].flat();
		this.idle.clear();
		await Promise.all(clients.map(async ({client}) => client.destroy()));
	}

	/**
	 * Returns the client of the most recently used idle connection that the request may use, else one that opens a new
	 * connection. If no further connection may be kept, it takes the place of the least recently used one, whose client
	 * it uses, as creating and destroying a client costs more CPU time than the connection.
	 */
	private acquire(req: TargetRequest): TrackedClient {
		const idle = this.idle.get(req.addr) ?? [];
		const usable = idle.findLastIndex(connection => this.mayReuse(connection, req));
		if (usable !== -1) {
			const [{client}] = idle.splice(usable, 1);
			return client;
		}

		const oldest = idle.length >= req.connections ? idle.shift() : undefined;
		if (oldest !== undefined) {
			oldest.client.closeConnection();
			return oldest.client;
		}

		return this.createClient(req.addr);
	}

	/** Creates a client. Its callbacks live as long as its connection, so they must not refer to the request that it is opened for. */
	private createClient(addr: string): TrackedClient {
		return new TrackedClient(`http://${addr}`, {
			connect: this.connector,
			now: () => this.clock.now(),
			onConnect: () => {
				this.opened += 1;
			},
			localAddress: this.localAddress,
			headersTimeout: 0,
			bodyTimeout: 0,
			keepAliveTimeout: keepAliveMs,
			keepAliveMaxTimeout: maxKeepAliveMs,
			maxHeaderSize: maxHeaderBytes,
		});
	}

	/** Returns whether a request may be sent on a connection, and its answer can be told apart from those before it. */
	private mayReuse({client, since}: IdleConnection, {requestId, isOnce}: TargetRequest): boolean {
		const isRecent = !isOnce || this.clock.now() - since <= reuseForOnceMs;
		return isRecent && requestId !== '' && client.connection?.requestIds.has(requestId) !== true;
	}

	private release(req: TargetRequest, client: TrackedClient, {outcome}: TargetResult): void {
		const idle = this.idle.get(req.addr) ?? [];
		const isUsable = outcome === AttemptOutcome.Answered || outcome === AttemptOutcome.Full || outcome === AttemptOutcome.NotRun;
		if (!isUsable || idle.length >= req.connections) {
			client.destroy().catch(() => undefined);
			return;
		}

		idle.push({client, since: this.clock.now()});
		this.idle.set(req.addr, idle);
	}
}
