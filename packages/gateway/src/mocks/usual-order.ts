import {Buffer} from 'node:buffer';
import {RunMode} from '@bluebellyard/core';
import type {Order} from '../dispatch/order.js';

/** An order that arrives at 0 for a service that is not sharded, and runs at most once. */
export const usualOrder: Order = {
	requestId: 'r',
	method: 'GET',
	path: '/',
	headers: [],
	body: Buffer.alloc(0),
	route: 'route',
	service: 's',
	key: undefined,
	priority: 1,
	isOnce: true,
	objectiveMs: 500,
	arrivedAt: 0,
	objectiveAt: 500,
	deadline: 2000,
	excluded: [],
	skipsRateLimited: false,
	mode: RunMode.Usual,
};
