import type {Server} from 'node:http';
import VError from 'verror';
import type {Address} from '../settings/index.js';

/** Text form of an address. */
export function formatAddress({host, port}: Address): string {
	return host.includes(':') ? `[${host}]:${port}` : `${host}:${port}`;
}

/** Listens; resolves to the address with its real port. */
export async function listen(server: Server, addr: Address): Promise<string> {
	return new Promise((resolve, reject) => {
		server.once('error', err => {
			reject(new VError(err, 'The address %s can not be opened', formatAddress(addr)));
		});
		server.listen(addr.port, addr.host, () => {
			const bound = server.address();
			const port = typeof bound === 'object' && bound !== null ? bound.port : addr.port;
			resolve(formatAddress({host: addr.host, port}));
		});
	});
}

/** Closes a server and its connections. */
export async function closeServer(server: Server): Promise<void> {
	return new Promise(resolve => {
		server.close(() => {
			resolve();
		});
		server.closeAllConnections();
	});
}
