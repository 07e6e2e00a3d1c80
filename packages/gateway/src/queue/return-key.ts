import {ReservationMode} from '@bluebellyard/core';
import type {Order} from '../dispatch/order.js';
import type {View} from '../view/index.js';

/** Returns whether queues reserve capacity for callers that they reject, as the setting and the active configuration ask for. */
export function isReserving(mode: ReservationMode, view: Pick<View, 'hasLargeAnswers'>): boolean {
	return mode === ReservationMode.On || (mode === ReservationMode.Auto && view.hasLargeAnswers);
}

/** Returns what identifies a request that its caller sends again under another id. */
export function returnKeyOf({
	method, path, headers, key, route, team,
}: Pick<Order, 'method' | 'path' | 'headers' | 'key' | 'route' | 'team'>): string {
	const host = headers.find(([name]) => name.toLowerCase() === 'host')?.[1] ?? '';
	return JSON.stringify([method, host, path, key, route, team]);
}
