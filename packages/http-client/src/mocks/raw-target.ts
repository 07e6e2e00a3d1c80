import {once} from 'node:events';
import {createServer, type Socket} from 'node:net';
import type {ExecutionContext} from 'ava';

/** Target that writes raw bytes to its connections. */
export type RawTarget = {
	readonly addr: string;
	/** Returns all text received over all connections. */
	readonly received: () => string;
	/** Returns the number of connections opened so far. */
	readonly connections: () => number;
	/** Accepts no further connections. */
	readonly stopListening: () => void;
};

/** Starts a target that calls `answer` for each complete request head, with the number of the request from 1, and the head. */
export async function startRawTarget(t: ExecutionContext, answer: (socket: Socket, number: number, head: string) => void | Promise<void>): Promise<RawTarget> {
	let received = '';
	let connections = 0;
	let requests = 0;
	const sockets = new Set<Socket>();
	const server = createServer(socket => {
		connections += 1;
		sockets.add(socket);
		socket.on('error', () => undefined);
		socket.on('data', data => {
			received += data.toString();
			if (received.endsWith('\r\n\r\n')) {
				requests += 1;
				void answer(socket, requests, received.slice(received.lastIndexOf('\r\n\r\n', received.length - 5) + 1).trimStart());
			}
		});
	});
	server.listen(0, '127.0.0.1');
	await once(server, 'listening');
	t.teardown(() => {
		for (const socket of sockets) {
			socket.destroy();
		}

		server.close();
	});
	const bound = server.address();
	const port = typeof bound === 'object' && bound !== null ? bound.port : 0;
	return {
		addr: `127.0.0.1:${port}`, received: () => received, connections: () => connections, stopListening() {
			server.close();
		},
	};
}

/** Returns a complete HTTP response as raw text. */
export function formatRawAnswer(body: string, headers: readonly string[] = [], status = 200): string {
	return ['HTTP/1.1 ' + String(status) + ' Any', `content-length: ${body.length}`, ...headers, '', body].join('\r\n');
}
