import type {Buffer} from 'node:buffer';
import type {IncomingMessage, ServerResponse} from 'node:http';
import {answerTable, ErrorKind} from '@bluebellyard/core';
import type {FailedResult} from '../dispatch/index.js';

/** Status which states that a request has not run and never will. */
const notRunStatus = 503;

/** Status for an unknown outcome. */
const unknownStatus = 502;

const msPerSecond = 1000;

/** Longest time for which the rest of a rejected request is read, in milliseconds; a caller has usually sent it by then. */
const maxRestMs = 1000;

/** Size below which a chunk is small, in bytes: its own cost is far larger than that of its bytes. */
export const smallChunkBytes = 128;

/** Largest rest of a rejected request that is read, in bytes; a larger one costs more than a new connection. */
const maxRestBytes = 65_536;

/** Returns the status of a failure. Only a request that certainly has not run gets a status which states so. */
export function getHttpStatus({error, isNotRun}: Pick<FailedResult, 'error' | 'isNotRun'>): number {
	const {status} = answerTable[error];
	if (isNotRun) {
		return status >= 500 ? notRunStatus : status;
	}

	return status === 504 ? status : unknownStatus;
}

/** Answers a request that no target answered, or closes the connection if the caller left or the headers were sent. `isLast` states that the connection is closed after the answer, as a header of `res` says already. */
export function sendFailure(req: IncomingMessage, res: ServerResponse, result: Pick<FailedResult, 'error' | 'isNotRun' | 'retryAfterMs'>, isLast = false): void {
	if (result.error === ErrorKind.CallerDisconnected || result.error === ErrorKind.CallerDisconnectedBeforeSend || res.headersSent) {
		res.destroy();
		return;
	}

	const status = getHttpStatus(result);
	const body = JSON.stringify({error: result.error, message: answerTable[result.error].text});
	const headers: Record<string, string | number> = {'content-type': 'application/json', 'content-length': body.length};
	if (status === notRunStatus || status === 429) {
		headers['retry-after'] = (Math.max(50, result.retryAfterMs) / msPerSecond).toFixed(2);
	}

	res.writeHead(status, headers);
	if (req.complete || !isLast) {
		res.end(body);
		return;
	}

	res.write(body);
	endAfterRest(req, res);
}

/** Returns whether the body of a request is known to be small; the server discards it after the answer. */
export function hasSmallBody({headers}: IncomingMessage): boolean {
	return Number(headers['content-length'] ?? Number.POSITIVE_INFINITY) <= maxRestBytes;
}

/** Ends an answer when the rest of its request was read: the end closes the connection, and closing it with unread data would reset it before the caller has read the answer. */
function endAfterRest(req: IncomingMessage, res: ServerResponse): void {
	let bytes = 0;
	const end = () => {
		clearTimeout(timer);
		res.end();
	};

	const timer = setTimeout(end, maxRestMs);
	req.on('data', (chunk: Buffer) => {
		bytes += Math.max(chunk.length, smallChunkBytes);
		if (bytes > maxRestBytes) {
			end();
		}
	});
	req.once('end', end);
	req.once('close', end);
}
