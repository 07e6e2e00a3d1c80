import {randomUUID} from 'node:crypto';
import {KeySource, type KeyOptions} from './key-source.js';
import type {Random} from './random.js';

/** A kind of request that callers send. */
export type PlannedRoute = {
	/** Weight of the route among all requests, relative to the other routes. */
	readonly weight: number;
	readonly method: 'GET' | 'POST' | 'PUT';
	/** Path in which `{key}` is replaced by a key. */
	readonly path: string;
	/** Whether the request must run at most once. */
	readonly isOnce: boolean;
	/** Size of the request body in bytes; 0 for no body. */
	readonly bodyBytes: number;
};

/** Options of a request plan. */
export type PlanOptions = {
	readonly routes: readonly PlannedRoute[];
	readonly keys: KeyOptions;
	/** Number of distinct callers. */
	readonly callers: number;
};

/** A request of a caller. */
export type PlannedRequest = {
	/** Request id, sent as `idempotency-key`. */
	readonly id: string;
	readonly caller: string;
	readonly method: PlannedRoute['method'];
	/** Path with a query that is unique to the request. */
	readonly path: string;
	readonly key: string;
	readonly isOnce: boolean;
	readonly body: string;
};

/** Draws requests by the weights of their routes. */
export class RequestPlan {
	private readonly keys: KeySource;
	private readonly totalWeight: number;
	private readonly options: PlanOptions;
	private count = 0;

	constructor(options: PlanOptions) {
		this.options = options;
		this.keys = new KeySource(options.keys);
		this.totalWeight = options.routes.reduce((sum, route) => sum + route.weight, 0);
	}

	/** Draws a request that is sent `elapsedMs` after the start. */
	next(random: Random, elapsedMs: number): PlannedRequest {
		const route = this.drawRoute(random);
		const key = this.keys.next(random, elapsedMs);
		this.count++;
		return {
			id: randomUUID(),
			caller: `caller-${random.integer(this.options.callers)}`,
			method: route.method,
			path: `${route.path.replace('{key}', key)}?n=${this.count}`,
			key,
			isOnce: route.isOnce,
			body: 'b'.repeat(route.bodyBytes),
		};
	}

	private drawRoute(random: Random): PlannedRoute {
		const {routes} = this.options;
		let remaining = random.uniform() * this.totalWeight;
		for (const route of routes) {
			remaining -= route.weight;
			if (remaining < 0) {
				return route;
			}
		}

		return routes.at(-1)!;
	}
}
