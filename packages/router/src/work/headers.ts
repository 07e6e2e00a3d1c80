import {findPassedOnLength} from '@bluebellyard/http-client';
import type {Answer, Headers} from './order.js';

/** Hop-by-hop headers and others that concern a single connection. */
const connectionHeaders = new Set([
	'connection',
	'keep-alive',
	'proxy-authenticate',
	'proxy-authorization',
	'te',
	'trailer',
	'transfer-encoding',
	'upgrade',
	'proxy-connection',
	'expect',
	'host',
	'content-length',
]);

/** Headers of this system for targets and callers; they are not forwarded, so that callers can't set them. */
const systemHeaders = new Set([
	'x-fence', 'x-pool', 'x-shard', 'x-order-id', 'x-deadline', 'x-not-run', 'x-outcome', 'x-reason',
]);

/** Prefix of the headers that instances add for each other. */
export const internalPrefix = 'x-bby-';

/** Returns the headers of a request or answer that may be forwarded. */
export function forwardableHeaders(headers: Readonly<Record<string, string | string[] | undefined>>): Record<string, string | string[]> {
	const forwarded: Record<string, string | string[]> = {};
	for (const [name, value] of Object.entries(headers)) {
		if (value !== undefined && !connectionHeaders.has(name) && !systemHeaders.has(name) && !name.startsWith(internalPrefix)) {
			forwarded[name] = value;
		}
	}

	return forwarded;
}

/** Returns the value of a header; empty when it is absent or repeated. */
export function headerText(headers: Headers, name: string): string {
	const value = headers[name];
	return typeof value === 'string' ? value : '';
}

/** Returns the headers with which an answer is passed on. */
export function answerHeaders({status, headers, body, framing}: Answer): Record<string, string | string[]> {
	const length = findPassedOnLength({
		status, framing, bytes: body.length, statedLength: headerText(headers, 'content-length') || undefined,
	});
	return {...forwardableHeaders(headers), ...(length !== undefined && {'content-length': length})};
}
