import {createServer} from 'node:net';
import process from 'node:process';

/** Ports below those that the kernel gives to outgoing connections. */
const firstPort = 10_000;
const portCount = 20_000;
/** Distance between the first ports that two processes try. */
const stride = 97;

let turn = process.pid * stride;

/** Ports of loopback on which nothing listened when asked; never the same ones twice. */
export async function findFreePorts(count: number): Promise<number[]> {
	const ports: number[] = [];
	while (ports.length < count) {
		const port = firstPort + (turn++ % portCount);
		// eslint-disable-next-line no-await-in-loop -- tries one after the other
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
