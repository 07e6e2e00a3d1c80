import type {Socket} from 'node:net';
import type {BudgetShare, Clock, MemoryBudget} from '@bluebellyard/core';
import {PauseReason, ReadPause, SentAheadLimit} from '@bluebellyard/http-client';
import {waitForPendingReads} from '../net/index.js';

/** What a connection of a caller is used for. */
export enum ConnectionUse {
	/** Nothing has arrived on it. */
	Unused = 'unused',
	/** All requests that arrived on it are answered. */
	Idle = 'idle',
	/** Part of a request has arrived. */
	Receiving = 'receiving',
	/** A request is not answered, or its answer not written. */
	Busy = 'busy',
}

/** Time for which a new connection is kept open for its first request, in milliseconds; several round trips of a far caller. */
const firstRequestMs = 500;

/** Largest number of times that connections are waited for; callers may go on opening them. */
const maxAcceptTurns = 1000;

/** Number of requests that wait on a connection from which nothing more is read from it; its end is not noticed then. */
const maxWaiting = 8;

/** Memory that counts for an open connection with its parser, in bytes. */
const connectionBytes = 8192;

/** Memory that counts for a request that is not answered, in bytes: a head of the usual limit. */
const requestBytes = 16_384;

/** Memory that counts for a connection from which nothing is read, in bytes: what the system may hold for it. */
const unreadBytes = 65_536;

/** How soon a connection is closed for a new one. */
enum Replacement {
	/** Nothing useful has arrived on it for long. */
	First = 0,
	Idle = 1,
	/** Its request may be on its way. */
	Last = 2,
	Never = 3,
}

const lateHeadAnswer = 'HTTP/1.1 408 Request Timeout\r\nConnection: close\r\nContent-Length: 0\r\n\r\n';

type Connection = {
	readonly socket: Socket;
	/** Monotonic milliseconds. */
	readonly openedAt: number;
	/** Requests whose answers are not written yet, waiting ones included. */
	requests: number;
	/** Start requests that wait until those before them are answered. */
	readonly waiting: Array<() => void>;
	/** Bytes received by the end of the last request. */
	handledBytes: number;
	/** When part of a request was first seen on it, in monotonic milliseconds; undefined if there is none. */
	receivingSince: number | undefined;
	readonly pause: ReadPause;
	/** What the connection and its requests take of the memory, without their bodies and answers. */
	readonly share: BudgetShare;
};

/** Options of the connections of a server. */
export type ConnectionsOptions = {
	readonly clock: Clock;
	/** What the connections hold counts towards it. */
	readonly budget: MemoryBudget;
	/** Largest number of open connections. */
	readonly maxConnections: number;
};

/** Open connections of callers. The HTTP server takes a connection on which nothing has arrived for one in the middle of a request, and one whose answer is complete but not written for an idle one. */
export class CallerConnections {
	/** The oldest first. */
	private readonly connections = new Map<Socket, Connection>();
	private accepted = 0;
	private readonly options: ConnectionsOptions;
	private readonly sentAhead = new SentAheadLimit(() => [...this.connections.values()].map(({pause}) => pause));

	constructor(options: ConnectionsOptions) {
		this.options = options;
	}

	/** Resolves when all connections that wait to be accepted are, and what has arrived on them is read. */
	async acceptPending(): Promise<void> {
		// The event loop accepts one connection in a turn.
		for (let turns = 0, accepted = -1; accepted !== this.accepted && turns < maxAcceptTurns; turns += 1) {
			accepted = this.accepted;
			// eslint-disable-next-line no-await-in-loop
			await waitForPendingReads();
		}
	}

	/** Number of open connections. */
	get size(): number {
		return this.connections.size;
	}

	/** Adds a connection until it is closed. If there are too many, one on which no request runs is closed for it; if there is none, the new one. */
	add(socket: Socket): void {
		this.accepted += 1;
		if (this.connections.size >= this.options.maxConnections) {
			const replaced = this.findReplaceable();
			if (replaced === undefined) {
				socket.destroy();
				return;
			}

			this.drop(replaced);
		}

		const connection: Connection = {
			socket,
			openedAt: this.options.clock.now(),
			requests: 0,
			waiting: [],
			handledBytes: 0,
			receivingSince: undefined,
			pause: new ReadPause(socket),
			share: this.options.budget.open(() => {
				this.drop(connection);
			}),
		};
		this.connections.set(socket, connection);
		socket.once('close', () => {
			this.connections.delete(socket);
			connection.share.release();
		});
		connection.share.update(connectionBytes);
	}

	/**
	 * Calls `start` when the requests that were read before on the connection are answered. An answer may close the
	 * connection; requests behind it are dropped, none of them started.
	 */
	startInTurn(socket: Socket, start: () => void): void {
		const connection = this.connections.get(socket);
		if (connection === undefined || socket.writableEnded || socket.destroyed) {
			this.sentAhead.record();
			return;
		}

		connection.requests += 1;
		connection.receivingSince = undefined;
		if (connection.requests === 1) {
			this.updateShare(connection);
			start();
			return;
		}

		this.sentAhead.record();
		connection.waiting.push(start);
		if (connection.waiting.length > maxWaiting) {
			connection.pause.add(PauseReason.SentAhead);
		}

		this.updateShare(connection);
	}

	/** Records that an answer was written. */
	recordAnswer(socket: Socket): void {
		const connection = this.connections.get(socket);
		if (connection === undefined) {
			return;
		}

		connection.requests -= 1;
		connection.handledBytes = socket.bytesRead;
		const start = socket.writableEnded ? undefined : connection.waiting.shift();
		if (connection.waiting.length === 0) {
			connection.pause.remove(PauseReason.SentAhead);
		}

		this.updateShare(connection);
		start?.();
	}

	/** Records that the rest of a request that is answered was read. */
	recordRest(socket: Socket): void {
		const connection = this.connections.get(socket);
		if (connection?.requests === 0) {
			connection.handledBytes = socket.bytesRead;
		}
	}

	/** Returns what stops reading from a connection; undefined if it is closed. */
	findPause(socket: Socket): ReadPause | undefined {
		return this.connections.get(socket)?.pause;
	}

	/** Closes a connection on which nothing arrives any more, unless a request is not answered. */
	async closeIfSilent(socket: Socket): Promise<void> {
		const {bytesRead} = socket;
		await waitForPendingReads();
		if (socket.bytesRead === bytesRead && this.connections.get(socket)?.requests === 0) {
			socket.destroy();
		}
	}

	/** Closes idle connections, and unused ones that were not opened just now. */
	closeIdle(): void {
		const now = this.options.clock.now();
		for (const [socket, connection] of this.connections) {
			const use = findUse(connection);
			if (use === ConnectionUse.Idle || (use === ConnectionUse.Unused && now - connection.openedAt >= firstRequestMs)) {
				socket.destroy();
			}
		}
	}

	/** Answers 408 on the connections on which part of a head has waited for its rest for longer than `timeoutMs`, and closes them. */
	async closeLateHeads(timeoutMs: number): Promise<void> {
		const late = this.countHeads().filter(({since}) => this.options.clock.now() - since > timeoutMs);
		if (late.length === 0) {
			return;
		}

		// The rest may have arrived while the event loop was blocked.
		await waitForPendingReads();
		for (const {connection, since} of late) {
			if (connection.receivingSince === since && findUse(connection) === ConnectionUse.Receiving) {
				connection.socket.end(lateHeadAnswer);
			}
		}
	}

	/** Returns the number of connections by use. */
	count(): Record<ConnectionUse, number> {
		const counts = {
			[ConnectionUse.Unused]: 0, [ConnectionUse.Idle]: 0, [ConnectionUse.Receiving]: 0, [ConnectionUse.Busy]: 0,
		};
		for (const connection of this.connections.values()) {
			counts[findUse(connection)] += 1;
		}

		return counts;
	}

	/** Counts the heads that have arrived in part towards the budget; returns their connections and when each was first seen. */
	private countHeads(): Array<{connection: Connection; since: number}> {
		const now = this.options.clock.now();
		const found: Array<{connection: Connection; since: number}> = [];
		for (const connection of this.connections.values()) {
			if (findUse(connection) === ConnectionUse.Receiving) {
				connection.receivingSince ??= now;
				this.updateShare(connection);
				found.push({connection, since: connection.receivingSince});
			} else {
				connection.receivingSince = undefined;
			}
		}

		return found;
	}

	private updateShare(connection: Connection): void {
		const {socket, requests, waiting, pause, share, handledBytes} = connection;
		// While its only request runs, the connection is closed by its caller alone.
		if (requests === 1 && waiting.length === 0) {
			share.complete();
		} else {
			share.reopen();
		}

		const isUnread = pause.has(PauseReason.SentAhead) || pause.has(PauseReason.Turn);
		const unhandledBytes = requests === 0 ? socket.bytesRead - handledBytes : 0;
		share.update(connectionBytes + (requests * requestBytes) + (isUnread ? unreadBytes : 0) + unhandledBytes);
	}

	private drop({socket, share}: Connection): void {
		this.connections.delete(socket);
		share.release();
		socket.destroy();
	}

	/** Returns the oldest of the connections that are closed first for a new one. */
	private findReplaceable(): Connection | undefined {
		let found: Connection | undefined;
		let best = Replacement.Never;
		for (const connection of this.connections.values()) {
			const replacement = this.findReplacement(connection);
			if (replacement < best) {
				found = connection;
				best = replacement;
			}

			if (best === Replacement.First) {
				break;
			}
		}

		return found;
	}

	private findReplacement(connection: Connection): Replacement {
		const now = this.options.clock.now();
		switch (findUse(connection)) {
			case ConnectionUse.Unused: {
				return now - connection.openedAt >= firstRequestMs ? Replacement.First : Replacement.Last;
			}

			case ConnectionUse.Receiving: {
				return now - (connection.receivingSince ?? now) >= firstRequestMs ? Replacement.First : Replacement.Last;
			}

			case ConnectionUse.Idle: {
				return Replacement.Idle;
			}

			case ConnectionUse.Busy: {
				return connection.pause.has(PauseReason.Turn) ? Replacement.First : Replacement.Never;
			}
		}
	}
}

function findUse({socket: {bytesRead}, requests, handledBytes}: Connection): ConnectionUse {
	if (requests > 0) {
		return ConnectionUse.Busy;
	}

	if (bytesRead > handledBytes) {
		return ConnectionUse.Receiving;
	}

	return bytesRead === 0 ? ConnectionUse.Unused : ConnectionUse.Idle;
}
