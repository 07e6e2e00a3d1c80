import {fingerprint} from '@bluebellyard/core';
import type {Order} from './order.js';

/** Returns the fingerprint of an order. It does not depend on the service, since a configuration may move the route or split it. */
export function fingerprintOf({
	method, path, headers, key, body,
}: Order): string {
	const host = headers.find(([name]) => name.toLowerCase() === 'host')?.[1] ?? '';
	return fingerprint({
		method, host, path, key, body,
	});
}
