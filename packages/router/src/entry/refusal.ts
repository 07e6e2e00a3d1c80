import {Buffer} from 'node:buffer';
import type {ServerResponse} from 'node:http';
import {ErrorKind, RequestError} from '@bluebellyard/core';

/** Kinds that get no answer because the caller has disconnected. */
const unansweredKinds = new Set([ErrorKind.CallerDisconnected, ErrorKind.CallerDisconnectedBeforeSend]);

/** Converts any failure to a `RequestError`; unknown ones become `Internal`. */
export function toRequestError(err: unknown): RequestError {
	return err instanceof RequestError ? err : new RequestError(ErrorKind.Internal, err instanceof Error ? err.message : String(err));
}

/** Sends the status, headers and body that the answer table has for the kind of the error. */
export function sendRefusal(res: ServerResponse, err: RequestError): void {
	if (unansweredKinds.has(err.kind) || res.headersSent) {
		res.destroy();
		return;
	}

	const {status, outcome, retryAfter, text} = err.answer;
	res.statusCode = status;
	res.setHeader('x-outcome', outcome);
	res.setHeader('x-reason', err.kind);
	if (retryAfter !== undefined) {
		res.setHeader('retry-after', retryAfter);
	}

	const body = JSON.stringify({error: err.kind, outcome, message: text});
	res.setHeader('content-type', 'application/json');
	res.setHeader('content-length', Buffer.byteLength(body));
	res.end(body);
}
