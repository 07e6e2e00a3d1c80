import {Buffer} from 'node:buffer';
import type {IncomingMessage, ServerResponse} from 'node:http';
import {ErrorKind, RequestError} from '@bluebellyard/core';
import {discardBody, type BodyLimits} from './read-body.js';

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

	res.end(prepareRefusal(res, err));
}

/**
 * Sends a refusal at once and closes the connection after the body of the request has been discarded.
 * Otherwise the connection would be reset while the caller still sends, and the answer lost.
 */
export async function sendEarlyRefusal(req: IncomingMessage, res: ServerResponse, err: RequestError, limits: BodyLimits): Promise<void> {
	if (unansweredKinds.has(err.kind) || res.headersSent) {
		res.destroy();
		return;
	}

	res.setHeader('connection', 'close');
	res.write(prepareRefusal(res, err));
	await discardBody(req, limits);
	res.end();
}

/** Sets the status and headers of a refusal; returns its body. */
function prepareRefusal(res: ServerResponse, err: RequestError): string {
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
	return body;
}
