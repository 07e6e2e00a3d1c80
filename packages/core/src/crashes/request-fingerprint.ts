import {createHash} from 'node:crypto';
import type {Buffer} from 'node:buffer';

/** Number of characters of the hash; 96 bits, so that no two requests of a deployment share one by chance. */
const hashLength = 16;

/**
 * What makes two requests the same, whichever attempt, instance or connection carries them. The address of the caller is
 * no part of it: repeats of one request come from the addresses of several balancers.
 */
export type RequestIdentity = {
	readonly method: string;
	readonly host: string;
	/** Path with the query string. */
	readonly path: string;
	/** Key; undefined without one. */
	readonly key: number | undefined;
	readonly body: Buffer;
};

/** Returns the fingerprint of a request: the length of its body, by which most other requests are told apart without a hash, and a hash. */
export function fingerprint({method, host, path, key, body}: RequestIdentity): string {
	const hash = createHash('sha256')
		.update(JSON.stringify([method, host.toLowerCase(), path, key ?? null]))
		.update(body)
		.digest('base64url')
		.slice(0, hashLength);
	return `${body.length}.${hash}`;
}

/** Returns the body length that a fingerprint states, in bytes. */
export function bodyLengthOf(print: string): number {
	return Number(print.slice(0, print.indexOf('.')));
}
