import type {Server} from 'node:http';
import type {Socket} from 'node:net';
import {setImmediate as nextTurn} from 'node:timers/promises';

type Connection = {
	/** Requests whose answers are not written yet. */
	requests: number;
	/** Bytes received by the end of the last request. */
	handledBytes: number;
};

/**
 * Open connections of an HTTP server. The server itself counts a connection as busy until its first request is read,
 * and as idle while its last answer is written or its next request waits to be read.
 */
export class Connections {
	private readonly connections = new Map<Socket, Connection>();

	/** Tracks the connections of `server`, and closes those that its timeout finds idle. */
	constructor(server: Server) {
		server.on('secureConnection' in server ? 'secureConnection' : 'connection', (socket: Socket) => {
			this.add(socket);
		});
		// With a listener, the server leaves the closing of connections that time out to it.
		server.on('timeout', (socket: Socket) => {
			void this.closeTimedOut(socket);
		});
	}

	/** Records that the head of a request was read. */
	recordRequest(socket: Socket): void {
		const connection = this.connections.get(socket);
		if (connection !== undefined) {
			connection.requests += 1;
			connection.handledBytes = socket.bytesRead;
		}
	}

	/** Records that the body of a request was read. */
	recordBody(socket: Socket): void {
		const connection = this.connections.get(socket);
		if (connection !== undefined) {
			connection.handledBytes = socket.bytesRead;
		}
	}

	/** Records that an answer was written, or its connection closed. */
	recordAnswer(socket: Socket): void {
		const connection = this.connections.get(socket);
		if (connection !== undefined) {
			connection.requests -= 1;
		}
	}

	/** Closes the connections on which no request has arrived that is not answered, also those that were not used. */
	async closeIdle(): Promise<void> {
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

	private add(socket: Socket): void {
		this.connections.set(socket, {requests: 0, handledBytes: socket.bytesRead});
		socket.once('close', () => {
			this.connections.delete(socket);
		});
	}
}

/** Resolves after everything that has arrived was read: reads of one turn of the event loop come after its timers. */
export async function readArrived(): Promise<void> {
	await nextTurn();
	await nextTurn();
}
