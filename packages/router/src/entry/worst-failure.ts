import {provesNotRun} from './forwarder.js';

/**
 * Returns the failure that the caller gets after several failed attempts: the first one
 * after which the request may have run, otherwise the last one. Expects at least one.
 */
export function worstFailure(failures: readonly unknown[]): unknown {
	return failures.find(failure => !provesNotRun(failure)) ?? failures.at(-1);
}
