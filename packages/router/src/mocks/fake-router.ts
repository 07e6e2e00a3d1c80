import {
	PoolKind, Repeat, type PoolRule, type RouteMatch,
} from '@bluebellyard/core';
import type {Answer, Order} from '../work/index.js';

const pool: PoolRule = {
	name: 'p', kind: PoolKind.Keyed, shards: 1, slots: 1, queue: 1, fenced: true, timeout: 5000,
};

const route = {
	methods: ['GET'],
	segments: ['{key}'],
	pool: pool.name,
	repeat: Repeat.Idempotent,
};

/** Routes every request to shard 0 of one pool and answers by a function. */
export class FakeRouter {
	constructor(readonly run: (order: Order) => Promise<Answer>) {
		// All is taken in by the parameter.
	}

	match(): RouteMatch {
		return {pool, route, key: 'k'};
	}

	findShard(): number {
		return 0;
	}
}
