import type {Server} from 'node:http';
import VError from 'verror';
import type {Address} from '../settings/index.js';

/** Formats an address as `host:port`; an IPv6 host is put in brackets. */
export function formatAddress({host, port}: Address): string {
	return host.includes(':') ? `[${host}]:${port}` : `${host}:${port}`;
}

/** Starts to listen; resolves to the address with the port that was bound, and rejects when the address cannot be bound. */
export async function listen(server: Server, addr: Address): Promise<string> {
	return new Promise((resolve, reject) => {
		server.once('error', err => {
			reject(new VError(err, 'Cannot listen on %s', formatAddress(addr)));
		});
		server.listen(addr.port, addr.host, () => {
			const bound = server.address();
			const port = typeof bound === 'object' && bound !== null ? bound.port : addr.port;
			resolve(formatAddress({host: addr.host, port}));
		});
	});
}

/** Closes a server and all its connections. */
export async function closeServer(server: Server): Promise<void> {
	return new Promise(resolve => {
		server.close(() => {
			resolve();
		});
		server.closeAllConnections();
	});
}
