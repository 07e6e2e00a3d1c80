import {shardKey, type GrantAnswer, type GrantEffect} from '@bluebellyard/core';
import type {Rng} from './rng.js';
import type {SimulatedNode} from './simulated-node.js';
import type {InvariantChecker} from './invariant-checker.js';

/** An order as sent to a target. */
export type Order = {
	readonly request: string;
	readonly attempt: string;
	readonly isOnce: boolean;
	/** Shard key. */
	readonly shard: string;
	readonly fence: number;
	/** Time on the target's clock after which the order must not run. */
	readonly deadline: number;
};

/** Result of an order. */
export enum OrderResult {
	Done = 'done',
	NotRun = 'not-run',
	/** The target started the order but did not finish it before the deadline. */
	Aborted = 'aborted',
}

const normalServiceMs = {min: 2, max: 40};
const slowServiceMs = {min: 300, max: 900};

/** Options of a `FakeTarget`. */
export type FakeTargetOptions = {
	readonly name: string;
	readonly pool: string;
	/** Whether the target checks the fence of each order. */
	readonly isFenced: boolean;
	readonly node: SimulatedNode;
	readonly rng: Rng;
	readonly checker: InvariantChecker;
};

/** A simulated server that owns shards. It enforces deadlines and, if it is fenced, leases and fences. */
export class FakeTarget {
	readonly name: string;
	readonly pool: string;
	readonly node: SimulatedNode;
	/** Whether orders take long to process. */
	isSlow = false;
	private readonly isFenced: boolean;
	private readonly rng: Rng;
	private readonly checker: InvariantChecker;
	private incarnation = 1;
	private tenure = 0;
	private leaseUntil = -Infinity;
	/** Latest end of a lease applied in the current tenure. A grant that ends earlier is older and arrived late. */
	private newestLeaseUntil = -Infinity;
	private readonly fences = new Map<string, number>();

	constructor({name, pool, isFenced, node, rng, checker}: FakeTargetOptions) {
		this.name = name;
		this.pool = pool;
		this.isFenced = isFenced;
		this.node = node;
		this.rng = rng;
		this.checker = checker;
		if (isFenced) {
			checker.leases.push({
				target: name,
				holds: shard => this.hasLease() && this.fences.has(shard),
			});
		}
	}

	/** Failure domain of the target. */
	get domain(): string {
		return this.node.domain;
	}

	/** Handles a grant. Grants may arrive out of order. */
	handleGrant(effect: GrantEffect): GrantAnswer {
		const isForThisIncarnation = effect.incarnation === '' || effect.incarnation === this.incarnationId;
		const isApplied = isForThisIncarnation && effect.tenure >= this.tenure && this.applyGrant(effect);
		return {
			accepted: isApplied || !this.isFenced, incarnation: this.incarnationId, tenure: this.tenure, clock: this.node.now(), shards: this.fences.size,
		};
	}

	/** Processes an order and reports its result; reports nothing if the target restarts meanwhile. */
	handleOrder(order: Order, finish: (result: OrderResult) => void): void {
		if (!this.mayRun(order)) {
			finish(OrderResult.NotRun);
			return;
		}

		const startedIn = this.incarnation;
		let isActive = true;
		this.checker.recordAttemptRun(order.request, order.attempt, order.isOnce);
		this.checker.checkOrderStart({
			target: this.name,
			shard: order.shard,
			isActive: () => isActive && startedIn === this.incarnation && this.node.now() < order.deadline,
		});
		const serviceMs = this.isSlow ? slowServiceMs : normalServiceMs;
		this.node.schedule(this.rng.between(serviceMs.min, serviceMs.max), () => {
			isActive = false;
			if (startedIn === this.incarnation) {
				finish(this.node.now() < order.deadline ? OrderResult.Done : OrderResult.Aborted);
			}
		});
	}

	/** Restarts the target without downtime: a new incarnation without grants. */
	restart(): void {
		this.incarnation += 1;
		this.tenure = 0;
		this.leaseUntil = -Infinity;
		this.newestLeaseUntil = -Infinity;
		this.fences.clear();
	}

	private get incarnationId(): string {
		return `life-${this.incarnation}`;
	}

	private hasLease(): boolean {
		return this.node.now() < this.leaseUntil;
	}

	private mayRun(order: Order): boolean {
		if (this.node.now() >= order.deadline) {
			return false;
		}

		this.dropExpiredShards();
		return !this.isFenced || (this.hasLease() && this.fences.get(order.shard) === order.fence);
	}

	/**
	 * Applies a grant. Returns false if the grant is outdated: its lease has expired or ends no later
	 * than one that was already applied. A grant without a lease only asks for the clock and is accepted.
	 */
	private applyGrant(effect: GrantEffect): boolean {
		this.dropExpiredShards();
		if (effect.tenure > this.tenure) {
			this.tenure = effect.tenure;
			this.newestLeaseUntil = -Infinity;
		}

		if (effect.until <= Math.max(this.node.now(), this.newestLeaseUntil)) {
			return effect.until === 0;
		}

		this.newestLeaseUntil = effect.until;

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
				this.checker.checkGrant(this.name, shard);
			}
		}

		return true;
	}

	/** Drops all shards once the lease has expired. */
	private dropExpiredShards(): void {
		if (!this.hasLease()) {
			this.fences.clear();
		}
	}
}
