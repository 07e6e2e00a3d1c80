import {connect} from 'node:net';

/** Parameters of a check. */
export type ByteCheckOptions = {
	/** IP address and port. */
	readonly addr: string;
	/** IP address to connect from; the system selects one if it is undefined. */
	readonly localAddress: string | undefined;
	/** Path of the request. */
	readonly path: string;
	readonly timeoutMs: number;
};

/** Resolves to whether an address answers a request on a new connection with any byte in time. Never rejects. */
export async function receivesByte({addr, localAddress, path, timeoutMs}: ByteCheckOptions): Promise<boolean> {
	const colon = addr.lastIndexOf(':');
	return new Promise(resolve => {
		const socket = connect({host: addr.slice(0, colon), port: Number(addr.slice(colon + 1)), localAddress});
		const finish = (isAnswered: boolean) => {
			clearTimeout(timer);
			socket.destroy();
			resolve(isAnswered);
		};

		const timer = setTimeout(() => {
			// An event loop that was blocked runs its timers before it reads what has arrived meanwhile.
			setImmediate(finish, false);
		}, timeoutMs);
		socket.once('connect', () => {
			socket.write(`GET ${path} HTTP/1.1\r\nhost: ${addr}\r\nconnection: close\r\n\r\n`);
		});
		socket.once('data', () => {
			finish(true);
		});
		socket.once('end', () => {
			finish(false);
		});
		socket.on('error', () => {
			finish(false);
		});
	});
}
