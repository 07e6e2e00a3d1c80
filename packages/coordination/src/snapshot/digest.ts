import {createHash} from 'node:crypto';

/** SHA-256 of a text, in hex. */
export function computeDigest(text: string): string {
	return createHash('sha256').update(text).digest('hex');
}
