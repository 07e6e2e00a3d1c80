import {createServer} from 'node:net';
import process from 'node:process';

/** The range lies below the ephemeral ports that the kernel assigns to outgoing connections. */
const firstPort = 10_000;
const portCount = 20_000;
/** Distance between the first ports that processes with consecutive ids try. */
const stride = 97;

let nextPortIndex = process.pid * stride;

/** Returns loopback ports that are not in use. Calls in one process return different ports. */
export async function findFreePorts(count: number): Promise<number[]> {
	const ports: number[] = [];
	while (ports.length < count) {
		const port = firstPort + (nextPortIndex++ % portCount);
		// eslint-disable-next-line no-await-in-loop -- tries one port after another
		if (await isFree(port)) {
			ports.push(port);
		}
	}

	return ports;
}

async function isFree(port: number): Promise<boolean> {
	return new Promise(resolve => {
		const server = createServer();
		server.once('error', () => {
			resolve(false);
		});
		server.listen(port, '127.0.0.1', () => {
			server.close(() => {
				resolve(true);
			});
		});
	});
}
