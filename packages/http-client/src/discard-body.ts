import type {IncomingMessage} from 'node:http';

/** How much of the body of an answer is read, and for how long. */
export type DiscardLimits = {
	/** Largest number of bytes that are read from the connection for it; what one read of the connection delivers may exceed it. */
	readonly maxBytes: number;
	/** Time until its end, in milliseconds. */
	readonly timeoutMs: number;
};

/**
 * Reads the body of an answer whose head says all, so that its connection can be used again. If the body does not end
 * within the limits, closes the connection: its sender may go on for ever, and would take the time of this process with
 * many bytes, and one of its connections with few. Resolves to whether the body has ended. Never rejects.
 */
export async function discardBody(res: IncomingMessage, {maxBytes, timeoutMs}: DiscardLimits): Promise<boolean> {
	const {socket} = res;
	const startBytes = socket.bytesRead;
	return new Promise(resolve => {
		let check: NodeJS.Immediate | undefined;
		const timer = setTimeout(() => {
			// Data that has arrived while the process was busy is handled between timers and immediates.
			check = setImmediate(() => {
				res.destroy();
			});
		}, timeoutMs);
		res.on('data', () => {
			if (socket.bytesRead - startBytes > maxBytes) {
				res.destroy();
			}
		});
		res.once('close', () => {
			clearTimeout(timer);
			clearImmediate(check);
			resolve(res.complete);
		});
	});
}
