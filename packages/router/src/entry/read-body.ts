import {Buffer} from 'node:buffer';
import type {IncomingMessage} from 'node:http';
import {ErrorKind, RequestError} from '@bluebellyard/core';

const noBody = Buffer.alloc(0);

/** Bounds on the body of a request. */
export type BodyLimits = {
	readonly maxBytes: number;
	/** Time in which the body must arrive, in milliseconds. */
	readonly timeoutMs: number;
};

/** Whether the head of a request announces a body. */
export function hasBody(req: IncomingMessage): boolean {
	const length = req.headers['content-length'];
	return req.headers['transfer-encoding'] !== undefined || (length !== undefined && length !== '0');
}

/** Reads the whole body; fails with a `RequestError` when it is too large, too slow or cut off. */
export async function readBody(req: IncomingMessage, limits: BodyLimits): Promise<Buffer> {
	if (!hasBody(req)) {
		return noBody;
	}

	if (Number(req.headers['content-length'] ?? 0) > limits.maxBytes) {
		throw new RequestError(ErrorKind.BodyTooLarge);
	}

	return new Promise((resolve, reject) => {
		const chunks: Buffer[] = [];
		let size = 0;
		const timer = setTimeout(() => {
			end(new RequestError(ErrorKind.CallerTimeout));
		}, limits.timeoutMs);
		const end = (err?: RequestError) => {
			clearTimeout(timer);
			req.removeAllListeners('data');
			if (err === undefined) {
				resolve(Buffer.concat(chunks));
			} else {
				reject(err);
			}
		};

		req.on('data', (chunk: Buffer) => {
			size += chunk.length;
			chunks.push(chunk);
			if (size > limits.maxBytes) {
				end(new RequestError(ErrorKind.BodyTooLarge));
			}
		});
		req.once('end', () => {
			end();
		});
		req.once('close', () => {
			end(new RequestError(ErrorKind.CallerGone));
		});
	});
}
