import {Buffer} from 'node:buffer';
import type {IncomingMessage, ServerResponse} from 'node:http';
import {
	BodyBuffer, ErrorKind, RequestError, type MemoryBudget,
} from '@bluebellyard/core';

const emptyBody = Buffer.alloc(0);

/** Limits for the body of a request. */
export type BodyLimits = {
	readonly maxBytes: number;
	/** Time within which the body must arrive, in milliseconds. */
	readonly timeoutMs: number;
	/** Aborted when the instance stops before the body has arrived. */
	readonly signal?: AbortSignal;
};

/** Limits for a body that is held. */
export type HeldBodyLimits = BodyLimits & {
	/** The body counts towards it until `res` is closed. */
	readonly budget: MemoryBudget;
	readonly res: ServerResponse;
};

/** Returns whether the headers of a request announce a body. */
export function hasBody(req: IncomingMessage): boolean {
	const length = req.headers['content-length'];
	return req.headers['transfer-encoding'] !== undefined || (length !== undefined && length !== '0');
}

/** Reads the complete body; rejects with a `RequestError` when it is too large, arrives too slowly or is truncated, or when the instance stops. */
export async function readBody(req: IncomingMessage, limits: HeldBodyLimits): Promise<Buffer> {
	if (!hasBody(req)) {
		return emptyBody;
	}

	if (Number(req.headers['content-length'] ?? 0) > limits.maxBytes) {
		throw new RequestError(ErrorKind.BodyTooLarge);
	}

	return new Promise((resolve, reject) => {
		const body = new BodyBuffer();
		const statedBytes = Number(req.headers['content-length'] ?? 0);
		body.expect(statedBytes);
		let isDone = false;
		const share = limits.budget.open(() => {
			finish(new RequestError(ErrorKind.InstanceBusy));
		});
		limits.res.once('close', () => {
			share.release();
		});
		const timer = setTimeout(() => {
			finish(new RequestError(ErrorKind.CallerTimeout));
		}, limits.timeoutMs);
		const {signal} = limits;
		const onAbort = () => {
			finish(new RequestError(ErrorKind.Stopping));
		};

		signal?.addEventListener('abort', onAbort, {once: true});
		const finish = (err?: RequestError) => {
			isDone = true;
			clearTimeout(timer);
			signal?.removeEventListener('abort', onAbort);
			req.removeAllListeners('data');
			if (err === undefined) {
				share.complete();
				resolve(body.toBytes());
			} else {
				body.clear();
				share.release();
				reject(err);
			}
		};

		req.on('data', (chunk: Buffer) => {
			share.update(Math.max(body.length + chunk.length, statedBytes));
			if (isDone) {
				// It was given up for its size.
				return;
			}

			body.append(chunk);
			if (body.length > limits.maxBytes) {
				finish(new RequestError(ErrorKind.BodyTooLarge));
			}
		});
		req.once('end', () => {
			finish();
		});
		req.once('close', () => {
			finish(new RequestError(ErrorKind.CallerDisconnected));
		});
	});
}

/** Discards the rest of the body; resolves when it has ended, exceeds the limits or its connection is closed. */
export async function discardBody(req: IncomingMessage, limits: BodyLimits): Promise<void> {
	return new Promise(resolve => {
		let receivedBytes = 0;
		const finish = () => {
			clearTimeout(timer);
			resolve();
		};

		const timer = setTimeout(finish, limits.timeoutMs);
		req.on('data', (chunk: Buffer) => {
			receivedBytes += chunk.length;
			if (receivedBytes > limits.maxBytes) {
				finish();
			}
		});
		req.once('end', finish);
		req.once('close', finish);
		req.resume();
	});
}
