import {shardKey, type GrantAnswer, type GrantEffect} from '@bluebellyard/core';
import type {Rng} from './rng.js';
import type {Site} from './site.js';
import type {Watcher} from './watcher.js';

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
	readonly site: Site;
	readonly rng: Rng;
	readonly watcher: Watcher;
};

/** A simulated server that owns shards. It enforces deadlines and, if it is fenced, leases and fences. */
export class FakeTarget {
	readonly name: string;
	readonly pool: string;
	readonly site: Site;
	/** Whether orders take long to process. */
	isSlow = false;
	private readonly isFenced: boolean;
	private readonly rng: Rng;
	private readonly checker: Watcher;
	private incarnation = 1;
	private tenure = 0;
	private leaseUntil = -Infinity;
	/** Latest end of a lease applied in the current tenure. A grant that ends earlier is older and arrived late. */
	private newestLeaseUntil = -Infinity;
	private readonly fences = new Map<string, number>();

	constructor({name, pool, isFenced, site, rng, watcher}: FakeTargetOptions) {
		this.name = name;
		this.pool = pool;
		this.isFenced = isFenced;
		this.site = site;
		this.rng = rng;
		this.checker = watcher;
		if (isFenced) {
			watcher.leases.push({
				target: name,
				holds: shard => this.hasLease() && this.fences.has(shard),
			});
		}
	}

	/** Failure domain of the target. */
	get domain(): string {
		return this.site.domain;
	}

	/** Handles a grant. Grants may arrive out of order. */
	grant(effect: GrantEffect): GrantAnswer {
		const isForThisIncarnation = effect.incarnation === '' || effect.incarnation === this.incarnationId;
		const isApplied = isForThisIncarnation && effect.tenure >= this.tenure && this.applyGrant(effect);
		return {
			accepted: isApplied || !this.isFenced, incarnation: this.incarnationId, tenure: this.tenure, clock: this.site.now(), shards: this.fences.size,
		};
	}

	/** Processes an order and reports its result; reports nothing if the target restarts meanwhile. */
	order(order: Order, finish: (result: OrderResult) => void): void {
		if (!this.mayRun(order)) {
			finish(OrderResult.NotRun);
			return;
		}

		const startedIn = this.incarnation;
		let isActive = true;
		this.checker.attemptRuns(order.request, order.attempt, order.isOnce);
		this.checker.began({
			target: this.name,
			shard: order.shard,
			isGoing: () => isActive && startedIn === this.incarnation && this.site.now() < order.deadline,
		});
		const serviceMs = this.isSlow ? slowServiceMs : normalServiceMs;
		this.site.after(this.rng.between(serviceMs.min, serviceMs.max), () => {
			isActive = false;
			if (startedIn === this.incarnation) {
				finish(this.site.now() < order.deadline ? OrderResult.Done : OrderResult.Aborted);
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
		return this.site.now() < this.leaseUntil;
	}

	private mayRun(order: Order): boolean {
		if (this.site.now() >= order.deadline) {
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

		if (effect.until <= Math.max(this.site.now(), this.newestLeaseUntil)) {
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
				this.checker.granted(this.name, shard);
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
