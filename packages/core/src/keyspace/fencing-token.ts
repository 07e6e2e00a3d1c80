/** Number of tokens in one era of the store; more records than a topic ever gets. */
const tokensPerEra = 2 ** 36;

/**
 * Returns the fencing token of a record. Tokens rise with the offset, and across returns of the store from an older
 * copy, after which offsets are given out again. Throws `RangeError` beyond 2^53.
 */
export function fencingToken(era: number, offset: number): number {
	const token = (era * tokensPerEra) + offset;
	if (offset >= tokensPerEra || !Number.isSafeInteger(token)) {
		throw new RangeError(`no fencing token for offset ${offset} of era ${era}: it would exceed 2^53`);
	}

	return token;
}
