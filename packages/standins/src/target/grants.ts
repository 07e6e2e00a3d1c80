import {z} from 'zod';

const shardKey = z.tuple([z.string(), z.number().int()]);

/** Schema of the body of `POST /control/grant`. */
export const grantSchema = z.object({
	target: z.string(),
	tenure: z.number().int(),
	steward: z.string(),
	/** Incarnation of the target that the grant is for; empty if the steward does not know it yet. */
	incarnation: z.string().default(''),
	/** End of the lease by the clock of this target; 0 grants no lease and only queries the clock. */
	until: z.number().nonnegative(),
	/** Whether the target loses shards that the grant does not name. */
	full: z.boolean().default(false),
	/** Pool, shard and fence of each granted shard. */
	shards: z.array(z.tuple([z.string(), z.number().int(), z.number().int()])).nullable().default(null),
	revoke: z.array(shardKey).default([]),
});

/** Body of `POST /control/grant`. */
export type Grant = z.infer<typeof grantSchema>;

/** Shards that a target owns under one lease, measured by its own clock. */
export class Grants {
	private tenure = Number.NEGATIVE_INFINITY;
	private leaseEnd = Number.NEGATIVE_INFINITY;
	/** Latest lease end granted in the tenure. Identifies older grants that arrive late, because they end earlier. */
	private newestLeaseEnd = Number.NEGATIVE_INFINITY;
	private expiry: number | undefined;
	private readonly fences = new Map<string, number>();

	/** Highest tenure seen; 0 before the first grant. */
	get highestTenure(): number {
		return Math.max(this.tenure, 0);
	}

	/** Returns the number of shards owned at `now`. */
	count(now: number): number {
		this.expireLease(now);
		return this.fences.size;
	}

	/** Applies a grant at `now`. Returns `false` for an outdated grant: of an older tenure, older than another of the tenure, or with an expired lease. */
	apply(grant: Grant, now: number): boolean {
		if (grant.tenure < this.tenure) {
			return false;
		}

		this.expireLease(now);
		if (grant.tenure > this.tenure) {
			this.tenure = grant.tenure;
			this.newestLeaseEnd = Number.NEGATIVE_INFINITY;
		}

		if (grant.until <= Math.max(now, this.newestLeaseEnd)) {
			return grant.until === 0;
		}

		this.newestLeaseEnd = grant.until;

		if (grant.full) {
			this.fences.clear();
		}

		if (this.fences.size > 0) {
			this.expiry = undefined;
		}

		this.leaseEnd = Math.max(this.leaseEnd, grant.until);
		for (const [pool, shard] of grant.revoke) {
			this.fences.delete(`${pool}/${shard}`);
		}

		for (const [pool, shard, fence] of grant.shards ?? []) {
			this.fences.set(`${pool}/${shard}`, fence);
		}

		return true;
	}

	/** Returns whether an order with this fence may run at `now`. */
	allows(pool: string, shard: number, fence: number, now: number): boolean {
		this.expireLease(now);
		return this.fences.get(`${pool}/${shard}`) === fence;
	}

	/** Returns the time at which the shards were lost to an expired lease, or `now` if they were not. */
	expiredAt(now: number): number {
		this.expireLease(now);
		return this.expiry ?? now;
	}

	/** Removes all shards and the tenure, as a restart does. */
	clear(): void {
		this.tenure = Number.NEGATIVE_INFINITY;
		this.leaseEnd = Number.NEGATIVE_INFINITY;
		this.newestLeaseEnd = Number.NEGATIVE_INFINITY;
		this.fences.clear();
	}

	private expireLease(now: number): void {
		if (now >= this.leaseEnd && this.fences.size > 0) {
			this.expiry = this.leaseEnd;
			this.fences.clear();
		}
	}
}
