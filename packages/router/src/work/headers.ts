import type {Headers} from './order.js';

/** Headers that concern one connection only. */
const hopHeaders = new Set([
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

/** Headers by which this system speaks to targets and between instances; callers can't set them. */
const ownHeaders = new Set([
	'x-fence', 'x-pool', 'x-shard', 'x-order-id', 'x-deadline', 'x-not-run', 'x-outcome', 'x-reason',
]);

/** Prefix of the headers between instances. */
export const internalPrefix = 'x-bby-';

/** Headers of a caller's request that a target may see. */
export function forwardableHeaders(headers: Readonly<Record<string, string | string[] | undefined>>): Record<string, string | string[]> {
	const passed: Record<string, string | string[]> = {};
	for (const [name, value] of Object.entries(headers)) {
		if (value !== undefined && !hopHeaders.has(name) && !ownHeaders.has(name) && !name.startsWith(internalPrefix)) {
			passed[name] = value;
		}
	}

	return passed;
}

/** One header as text; empty when absent. */
export function headerText(headers: Headers, name: string): string {
	const value = headers[name];
	return typeof value === 'string' ? value : '';
}
