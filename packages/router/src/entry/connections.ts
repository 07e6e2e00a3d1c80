import type {IncomingMessage, Server, ServerResponse} from 'node:http';
import {Server as NetServer, type Socket} from 'node:net';
import {setImmediate as nextTurn} from 'node:timers/promises';
import {Server as TlsServer} from 'node:tls';
import type {BudgetShare, MemoryBudget} from '@bluebellyard/core';
import {PauseReason, ReadPause} from '@bluebellyard/http-client';

/** Largest number of times that connections are waited for; callers may go on opening them. */
const maxAcceptTurns = 1000;

/** Number of unanswered requests on a connection from which nothing more is read from it. */
const maxSentAhead = 8;

/** Memory that counts for an open connection with its parser, in bytes. */
const connectionBytes = 8192;

/** Memory that counts for a request that is not answered, in bytes: a head of the usual limit. */
const requestBytes = 16_384;

type Connection = {
	/** Requests whose answers are not written yet. */
	requests: number;
	/** Bytes received by the end of the last request. */
	handledBytes: number;
	readonly pause: ReadPause;
	/** What the connection and its requests take of the memory, without their bodies and answers. */
	readonly share: BudgetShare;
};

/**
 * Open connections of an HTTP server. The server itself counts a connection as busy until its first request is read,
 * and as idle while its last answer is written or its next request waits to be read.
 */
export class Connections {
	private readonly connections = new Map<Socket, Connection>();
	private requestCount = 0;
	private accepted = 0;
	private onIdle: (() => void) | undefined;

	/** Tracks the connections of `server`, and closes those that its timeout finds idle. */
	constructor(private readonly server: Server, private readonly budget: MemoryBudget, private readonly maxConnections = Number.POSITIVE_INFINITY) {
		server.on(server instanceof TlsServer ? 'secureConnection' : 'connection', (socket: Socket) => {
			this.add(socket);
		});
		// With a listener, the server leaves the closing of connections that time out to it.
		server.on('timeout', (socket: Socket) => {
			void this.closeTimedOut(socket);
		});
	}

	/** Number of requests whose answers are not written yet. */
	get inFlight(): number {
		return this.requestCount;
	}

	/** Records that the head of a request was read; it is in flight until its answer is written or its connection closed. */
	recordRequest({socket}: IncomingMessage, res: ServerResponse): void {
		const connection = this.connections.get(socket) ?? this.add(socket);
		connection.requests += 1;
		connection.handledBytes = socket.bytesRead;
		this.requestCount += 1;
		if (connection.requests > maxSentAhead) {
			connection.pause.add(PauseReason.SentAhead);
		}

		updateShare(connection);
		res.once('close', () => {
			connection.requests -= 1;
			if (connection.requests <= maxSentAhead) {
				connection.pause.remove(PauseReason.SentAhead);
			}

			updateShare(connection);
			this.requestCount -= 1;
			if (this.requestCount === 0) {
				this.onIdle?.();
			}
		});
	}

	/** Records that the body of a request was read. */
	recordBody(socket: Socket): void {
		const connection = this.connections.get(socket);
		if (connection !== undefined) {
			connection.handledBytes = socket.bytesRead;
		}
	}

	/** Closes the port when the connections that wait there are accepted; they would be reset. */
	async closePort(): Promise<void> {
		// The event loop accepts one connection in a turn.
		for (let turns = 0, accepted = -1; accepted !== this.accepted && turns < maxAcceptTurns; turns += 1) {
			accepted = this.accepted;
			// eslint-disable-next-line no-await-in-loop
			await readArrived();
		}

		// The method of the HTTP server would close idle connections, on which requests may be on their way.
		NetServer.prototype.close.call(this.server);
	}

	/** Closes idle connections and waits until the requests in flight are answered. */
	async drain(): Promise<void> {
		await this.closeIdle();
		if (this.requestCount > 0) {
			await new Promise<void>(resolve => {
				this.onIdle = resolve;
			});
		}
	}

	/** Closes the connections on which no request has arrived that is not answered, also those that were not used. */
	private async closeIdle(): Promise<void> {
		await readArrived();
		for (const [socket, {requests, handledBytes}] of this.connections) {
			if (requests === 0 && socket.bytesRead === handledBytes) {
				socket.destroy();
			}
		}
	}

	/** Closes a connection unless data has arrived that the server had not read when it timed out. */
	private async closeTimedOut(socket: Socket): Promise<void> {
		const {bytesRead} = socket;
		await readArrived();
		const isBusy = (this.connections.get(socket)?.requests ?? 0) > 0;
		if (!isBusy && socket.bytesRead === bytesRead) {
			socket.destroy();
		}
	}

	private add(socket: Socket): Connection {
		this.accepted += 1;
		if (this.connections.size >= this.maxConnections) {
			const idle = [...this.connections].find(([, {requests}]) => requests === 0);
			(idle?.[0] ?? socket).destroy();
			if (idle !== undefined) {
				this.connections.delete(idle[0]);
			}
		}

		const connection = {
			requests: 0,
			handledBytes: socket.bytesRead,
			pause: new ReadPause(socket),
			share: this.budget.open(() => {
				socket.destroy();
			}),
		};
		this.connections.set(socket, connection);
		updateShare(connection);
		socket.once('close', () => {
			this.connections.delete(socket);
			connection.share.release();
		});
		return connection;
	}
}

function updateShare({requests, share}: Connection): void {
	// While its only request runs, the connection is closed by its caller alone.
	if (requests === 1) {
		share.complete();
	} else {
		share.reopen();
	}

	share.update(connectionBytes + (requests * requestBytes));
}

/** Resolves after everything that has arrived was read: reads of one turn of the event loop come after its timers. */
async function readArrived(): Promise<void> {
	await nextTurn();
	await nextTurn();
}
