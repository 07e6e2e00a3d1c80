import {Buffer} from 'node:buffer';
import type {IncomingMessage} from 'node:http';
import {BodyBuffer, ErrorKind, type BodyBudget} from '@bluebellyard/core';
import {failure, type FailedResult} from '../dispatch/index.js';
import type {CancelSignal} from '../net/index.js';

/** Retry delay reported when the bodies of other requests take all memory for them, in milliseconds. */
const memoryRetryMs = 1000;

/** The body of a request, or why it was not read. */
export type RequestBody = {
	readonly isRead: true;
	readonly bytes: Buffer;
	/** Must be called when the bytes are not held any more. */
	readonly release: () => void;
} | {
	readonly isRead: false;
	readonly failure: FailedResult;
};

/** Options of `readBody`. */
export type ReadBodyOptions = {
	readonly maxBytes: number;
	/** The body counts towards it until it is released. */
	readonly budget: BodyBudget;
	/** Aborts when the request can't be answered any more before the process ends. */
	readonly tooLate: CancelSignal;
};

/** Reads the body of a request. */
export async function readBody(req: IncomingMessage, {maxBytes, budget, tooLate}: ReadBodyOptions): Promise<RequestBody> {
	const {'content-length': length, 'transfer-encoding': encoding} = req.headers;
	if (length === undefined && encoding === undefined) {
		return {isRead: true, bytes: Buffer.alloc(0), release: () => undefined};
	}

	const tooLarge = failure(ErrorKind.BodyTooLarge, {reason: 'the request body exceeds the limit'});
	if (Number(length) > maxBytes) {
		return {isRead: false, failure: tooLarge};
	}

	// Listeners cost less than an iterator, which also keeps the chunks that wait as objects.
	return new Promise(resolve => {
		const body = new BodyBuffer();
		const stop = (reason: FailedResult) => {
			tooLate.removeEventListener('abort', stopTooLate);
			req.removeListener('data', collect);
			body.clear();
			share.release();
			resolve({isRead: false, failure: reason});
		};

		const share = budget.open(() => {
			stop(failure(ErrorKind.InstanceBusy, {retryAfterMs: memoryRetryMs, reason: 'the bodies of requests and answers take too much memory'}));
		});
		const collect = (chunk: Buffer) => {
			body.append(chunk);
			share.update(body.length);
			if (body.length > maxBytes) {
				stop(tooLarge);
			}
		};

		const stopClosed = () => {
			stop(failure(ErrorKind.CallerDisconnectedBeforeSend, {reason: 'the connection was closed before the request body was read'}));
		};

		const stopTooLate = () => {
			stop(failure(ErrorKind.Stopping, {reason: 'the request body is not read in time'}));
		};

		tooLate.addEventListener('abort', stopTooLate);
		req.on('data', collect);
		req.once('close', stopClosed);
		req.once('end', () => {
			tooLate.removeEventListener('abort', stopTooLate);
			req.removeListener('close', stopClosed);
			share.complete();
			resolve({
				isRead: true, bytes: body.toBytes(), release() {
					share.release();
				},
			});
		});
	});
}
