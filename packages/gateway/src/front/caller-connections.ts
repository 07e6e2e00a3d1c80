import type {Socket} from 'node:net';
import type {Clock} from '@bluebellyard/core';
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

type Connection = {
	/** Monotonic milliseconds. */
	readonly openedAt: number;
	/** Requests whose answers are not written yet, waiting ones included. */
	requests: number;
	/** Start requests that wait until those before them are answered. */
	readonly waiting: Array<() => void>;
	/** Bytes received by the end of the last request. */
	handledBytes: number;
};

/** Open connections of callers. The HTTP server takes a connection on which nothing has arrived for one in the middle of a request, and one whose answer is complete but not written for an idle one. */
export class CallerConnections {
	private readonly connections = new Map<Socket, Connection>();
	private accepted = 0;
	private readonly clock: Clock;

	constructor(clock: Clock) {
		this.clock = clock;
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

	/** Adds a connection until it is closed. */
	add(socket: Socket): void {
		this.accepted += 1;
		this.connections.set(socket, {
			openedAt: this.clock.now(), requests: 0, waiting: [], handledBytes: 0,
		});
		socket.once('close', () => {
			this.connections.delete(socket);
		});
	}

	/**
	 * Calls `start` when the requests that were read before on the connection are answered. An answer may close the
	 * connection; requests behind it are dropped, none of them started.
	 */
	startInTurn(socket: Socket, start: () => void): void {
		const connection = this.connections.get(socket);
		if (connection === undefined || socket.writableEnded) {
			return;
		}

		connection.requests += 1;
		if (connection.requests === 1) {
			start();
		} else {
			connection.waiting.push(start);
		}
	}

	/** Records that an answer was written. */
	recordAnswer(socket: Socket): void {
		const connection = this.connections.get(socket);
		if (connection !== undefined) {
			connection.requests -= 1;
			connection.handledBytes = socket.bytesRead;
			if (!socket.writableEnded) {
				connection.waiting.shift()?.();
			}
		}
	}

	/** Records that the rest of a request that is answered was read. */
	recordRest(socket: Socket): void {
		const connection = this.connections.get(socket);
		if (connection?.requests === 0) {
			connection.handledBytes = socket.bytesRead;
		}
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
		const now = this.clock.now();
		for (const [socket, connection] of this.connections) {
			const use = findUse(socket, connection);
			if (use === ConnectionUse.Idle || (use === ConnectionUse.Unused && now - connection.openedAt >= firstRequestMs)) {
				socket.destroy();
			}
		}
	}

	/** Returns the number of connections by use. */
	count(): Record<ConnectionUse, number> {
		const counts = {
			[ConnectionUse.Unused]: 0, [ConnectionUse.Idle]: 0, [ConnectionUse.Receiving]: 0, [ConnectionUse.Busy]: 0,
		};
		for (const [socket, connection] of this.connections) {
			counts[findUse(socket, connection)] += 1;
		}

		return counts;
	}
}

function findUse({bytesRead}: Socket, {requests, handledBytes}: Connection): ConnectionUse {
	if (requests > 0) {
		return ConnectionUse.Busy;
	}

	if (bytesRead > handledBytes) {
		return ConnectionUse.Receiving;
	}

	return bytesRead === 0 ? ConnectionUse.Unused : ConnectionUse.Idle;
}
