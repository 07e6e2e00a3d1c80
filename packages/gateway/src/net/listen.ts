import type {Server} from 'node:net';

/** Starts to listen. Resolves to the actual port once connections are accepted. */
export async function listen(server: Server, host: string, port: number): Promise<number> {
	return new Promise((resolve, reject) => {
		server.once('error', reject);
		server.listen(port, host, () => {
			const addr = server.address();
			resolve(typeof addr === 'object' && addr !== null ? addr.port : port);
		});
	});
}
