import type {OrderResult} from './order.js';

/**
 * Returns the result of an order after one more attempt. An answer goes before failures. Of several failures the one
 * counts after which the order may have run: that a later attempt has not run says nothing about the earlier ones.
 */
export function combineResults(earlier: OrderResult | undefined, latest: OrderResult): OrderResult {
	if (earlier === undefined || latest.kind === 'answer') {
		return latest;
	}

	const mayHaveRun = earlier.kind === 'answer' || !earlier.isNotRun;
	return mayHaveRun && (latest.isNotRun || earlier.kind === 'answer') ? earlier : latest;
}
