import type {Order} from '../dispatch/order.js';

/** Returns what identifies a request that its caller sends again under another id. */
export function returnKeyOf({
	method, path, headers, key, route, team,
}: Pick<Order, 'method' | 'path' | 'headers' | 'key' | 'route' | 'team'>): string {
	const host = headers.find(([name]) => name.toLowerCase() === 'host')?.[1] ?? '';
	return JSON.stringify([method, host, path, key, route, team]);
}
