import type {Server} from 'node:net';

/** Listens; resolves to the real port once connections are taken. */
export async function listen(server: Server, host: string, port: number): Promise<number> {
	return new Promise((resolve, reject) => {
		server.once('error', reject);
		server.listen(port, host, () => {
			const addr = server.address();
			resolve(typeof addr === 'object' && addr !== null ? addr.port : port);
		});
	});
}
