import {once} from 'node:events';
import {createServer, type Socket} from 'node:net';
import type {ExecutionContext} from 'ava';

/** A target at the level of bytes. */
export type RawTarget = {
	readonly addr: string;
	/** Everything that was received, over all connections. */
	readonly received: () => string;
	/** Connections that were opened. */
	readonly connections: () => number;
};

/** Starts a target that hands each whole request head, with its number from 1, to `answer`. */
export async function startRawTarget(t: ExecutionContext, answer: (socket: Socket, number: number) => void): Promise<RawTarget> {
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
				answer(socket, requests);
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
	return {addr: `127.0.0.1:${port}`, received: () => received, connections: () => connections};
}

/** Bytes of a whole answer. */
export function formatRawAnswer(body: string, headers: readonly string[] = [], status = 200): string {
	return ['HTTP/1.1 ' + String(status) + ' Any', `content-length: ${body.length}`, ...headers, '', body].join('\r\n');
}
