import {shardKey, type GrantAnswer, type GrantEffect} from '@bluebellyard/core';
import type {Rng} from './rng.js';
import type {SimulatedNode} from './simulated-node.js';
import type {InvariantChecker} from './invariant-checker.js';

/** An order as it travels to a target. */
export type Order = {
	readonly request: string;
	readonly attempt: string;
	readonly isOnce: boolean;
	/** Key of the shard. */
	readonly shard: string;
	readonly fence: number;
	/** End of the order by the target's clock. */
	readonly deadline: number;
};

/** What became of an order. */
export enum OrderResult {
	Done = 'done',
	NotRun = 'not-run',
	/** It was started and did not end in time. */
	Aborted = 'aborted',
}

const fastMs = {min: 2, max: 40};
const slowMs = {min: 300, max: 900};

/** What a target is made with. */
export type FakeTargetOptions = {
	readonly name: string;
	readonly pool: string;
	/** Whether it checks the fence of each order. */
	readonly isFenced: boolean;
	readonly node: SimulatedNode;
	readonly rng: Rng;
	readonly checker: InvariantChecker;
};

/** A server that owns shards; it honours deadlines, and checks fences or not. */
export class FakeTarget {
	readonly name: string;
	readonly pool: string;
	readonly node: SimulatedNode;
	/** Whether work takes long. */
	isSlow = false;
	private readonly isFenced: boolean;
	private readonly rng: Rng;
	private readonly watcher: InvariantChecker;
	private incarnation = 1;
	private tenure = 0;
	private leaseUntil = -Infinity;
	/** End of the newest lease applied under the tenure; an older grant ends earlier. */
	private newestUntil = -Infinity;
	private readonly fences = new Map<string, number>();

	constructor({name, pool, isFenced, node: site, rng, checker: watcher}: FakeTargetOptions) {
		this.name = name;
		this.pool = pool;
		this.isFenced = isFenced;
		this.node = site;
		this.rng = rng;
		this.watcher = watcher;
		if (isFenced) {
			watcher.leases.push({
				target: name,
				holds: shard => this.hasLease() && this.fences.has(shard),
			});
		}
	}

	/** Failure domain of the machine. */
	get domain(): string {
		return this.node.domain;
	}

	/** Takes a grant, in whatever order grants arrive. */
	handleGrant(effect: GrantEffect): GrantAnswer {
		const isMine = effect.incarnation === '' || effect.incarnation === this.life;
		const isApplied = isMine && effect.tenure >= this.tenure && this.apply(effect);
		return {
			accepted: isApplied || !this.isFenced, incarnation: this.life, tenure: this.tenure, clock: this.node.now(), shards: this.fences.size,
		};
	}

	/** Works on an order and tells what became of it. */
	handleOrder(order: Order, finish: (result: OrderResult) => void): void {
		if (!this.admits(order)) {
			finish(OrderResult.NotRun);
			return;
		}

		const life = this.incarnation;
		let isGoing = true;
		this.watcher.recordAttemptRun(order.request, order.attempt, order.isOnce);
		this.watcher.checkOrderStart({
			target: this.name,
			shard: order.shard,
			isActive: () => isGoing && life === this.incarnation && this.node.now() < order.deadline,
		});
		const serviceMs = this.isSlow ? slowMs : fastMs;
		this.node.schedule(this.rng.between(serviceMs.min, serviceMs.max), () => {
			isGoing = false;
			if (life === this.incarnation) {
				finish(this.node.now() < order.deadline ? OrderResult.Done : OrderResult.Aborted);
			}
		});
	}

	/** Restarts it within no time: a new process life without grants. */
	restart(): void {
		this.incarnation += 1;
		this.tenure = 0;
		this.leaseUntil = -Infinity;
		this.newestUntil = -Infinity;
		this.fences.clear();
	}

	private get life(): string {
		return `life-${this.incarnation}`;
	}

	private hasLease(): boolean {
		return this.node.now() < this.leaseUntil;
	}

	private admits(order: Order): boolean {
		if (this.node.now() >= order.deadline) {
			return false;
		}

		this.expire();
		return !this.isFenced || (this.hasLease() && this.fences.get(order.shard) === order.fence);
	}

	/** Applies a grant; returns whether its lease still runs. */
	private apply(effect: GrantEffect): boolean {
		this.expire();
		if (effect.tenure > this.tenure) {
			this.tenure = effect.tenure;
			this.newestUntil = -Infinity;
		}

		if (effect.until <= Math.max(this.node.now(), this.newestUntil)) {
			return effect.until === 0;
		}

		this.newestUntil = effect.until;

		if (effect.isFull) {
			this.fences.clear();
		}

		this.leaseUntil = Math.max(this.leaseUntil, effect.until);
		for (const {pool, shard} of effect.revoke) {
			this.fences.delete(shardKey(pool, shard));
		}

		for (const {pool, shard, fence} of effect.grant) {
			this.fences.set(shardKey(pool, shard), fence);
		}

		if (this.isFenced) {
			for (const shard of this.fences.keys()) {
				this.watcher.checkGrant(this.name, shard);
			}
		}

		return true;
	}

	/** A lease that ran out takes its shards with it. */
	private expire(): void {
		if (!this.hasLease()) {
			this.fences.clear();
		}
	}
}
