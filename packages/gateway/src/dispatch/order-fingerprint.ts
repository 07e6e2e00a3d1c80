import {fingerprint} from '@bluebellyard/core';
import type {View} from '../view/index.js';
import type {Order} from './order.js';

/** Returns the fingerprint of an order. The key belongs to it where it decides which target runs the order. */
export function fingerprintOf({
	method, path, headers, service, key, caller, body,
}: Order, view: View): string {
	const host = headers.find(([name]) => name.toLowerCase() === 'host')?.[1] ?? '';
	const isSharded = view.allServices.get(service)?.isSharded ?? false;
	return fingerprint({
		method, host, path, key: isSharded ? key : undefined, caller, body,
	});
}
