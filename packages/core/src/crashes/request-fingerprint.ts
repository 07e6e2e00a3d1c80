import {createHash} from 'node:crypto';
import type {Buffer} from 'node:buffer';

/** Number of characters of the hash; 96 bits, so that no two requests of a deployment share one by chance. */
const hashLength = 16;

/** What makes two requests the same, whichever attempt, instance or connection carries them. */
export type RequestIdentity = {
	readonly method: string;
	readonly host: string;
	/** Path with the query string. */
	readonly path: string;
	/** Key; undefined where it does not decide which target runs the request. */
	readonly key: number | undefined;
	/** Who sent the request, as the platform tells it; empty if unknown. */
	readonly caller: string;
	readonly body: Buffer;
};

/** Returns the fingerprint of a request: the length of its body, by which most other requests are told apart without a hash, and a hash. */
export function fingerprint({method, host, path, key, caller, body}: RequestIdentity): string {
	const hash = createHash('sha256')
		.update(JSON.stringify([method, host.toLowerCase(), path, key ?? null, caller]))
		.update(body)
		.digest('base64url')
		.slice(0, hashLength);
	return `${body.length}.${hash}`;
}

/** Returns the body length that a fingerprint states, in bytes. */
export function bodyLengthOf(print: string): number {
	return Number(print.slice(0, print.indexOf('.')));
}
