import {Buffer} from 'node:buffer';
import {once} from 'node:events';
import {createServer, type Socket} from 'node:net';

/** Server whose answers have bodies without end. */
export type EndlessServer = {
	/** Address, `ip:port`. */
	readonly addr: string;
	/** Returns the number of open connections. */
	readonly connections: () => number;
	readonly stop: () => void;
};

/** Starts a server that answers each request with 200 and a JSON body that goes on until the connection is closed, some bytes at a time. */
export async function startEndlessServer({bytes, pauseMs}: {bytes: number; pauseMs: number}): Promise<EndlessServer> {
	const sockets = new Set<Socket>();
	const piece = Buffer.alloc(bytes, ' ');
	const sendBody = (socket: Socket) => {
		if (!socket.destroyed) {
			socket.write(piece, () => {
				setTimeout(sendBody, pauseMs, socket);
			});
		}
	};

	const server = createServer(socket => {
		sockets.add(socket);
		socket.on('error', () => undefined).once('close', () => {
			sockets.delete(socket);
		}).once('data', () => {
			socket.resume();
			socket.write('HTTP/1.1 200 OK\r\nContent-Type: application/json\r\n\r\n{');
			sendBody(socket);
		});
	}).listen(0, '127.0.0.1');
	await once(server, 'listening');
	const addr = server.address();
	return {
		addr: `127.0.0.1:${typeof addr === 'object' ? addr?.port : ''}`, connections: () => sockets.size, stop() {
			for (const socket of sockets) {
				socket.destroy();
			}

			server.close();
		},
	};
}

/** Bodies without end, as options of `startEndlessServer`: many bytes, or a few now and then. */
export const endlessBodies = [{bytes: 1_000_000, pauseMs: 0}, {bytes: 1, pauseMs: 50}] as const;
