import type {IncomingHttpHeaders} from 'node:http';

const statusLinePattern = /HTTP\/1\.[01] \d{3}/v;

/**
 * Returns whether a head may consist of parts of two: a target that sends an answer twice may cut the second copy, so
 * that the status line of the next answer follows in the middle of a line. The parser takes it for a part of the reason
 * phrase or of a value, and the head has the status and the first headers of one answer and the others of the next.
 */
export function isJoinedHead(reasonPhrase: string | undefined, headers: IncomingHttpHeaders): boolean {
	if (reasonPhrase !== undefined && statusLinePattern.test(reasonPhrase)) {
		return true;
	}

	for (const name of Object.keys(headers)) {
		const value = headers[name];
		if (typeof value === 'string' ? statusLinePattern.test(value) : value?.some(item => statusLinePattern.test(item)) === true) {
			return true;
		}
	}

	return false;
}
