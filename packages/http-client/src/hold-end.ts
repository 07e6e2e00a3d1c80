import type {Socket} from 'node:net';

/** Time for which the end of a connection is held back, in milliseconds. */
const holdMs = 5;

/**
 * Holds back the orderly end of a connection while `isHeld` returns true, until a reset would be known: a connection that
 * was reset is read as one that has ended at times, on a busy machine about once in some thousand resets.
 */
export function holdEnd(socket: Socket, isHeld: () => boolean): void {
	const push = socket.push.bind(socket);
	socket.push = (chunk: unknown, encoding?: BufferEncoding) => {
		if (chunk !== null || !isHeld()) {
			return push(chunk, encoding);
		}

		setTimeout(() => {
			if (socket.destroyed) {
				return;
			}

			// Nothing is read after the end. A write of no bytes sends nothing, and fails if the connection was reset.
			socket.write('');
			setImmediate(() => {
				push(null);
			});
		}, holdMs);
		return false;
	};
}
