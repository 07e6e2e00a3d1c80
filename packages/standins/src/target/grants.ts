import {z} from 'zod';

const shardKey = z.tuple([z.string(), z.number().int()]);

/** Schema of the body of `POST /control/grant`. */
export const grantSchema = z.object({
	target: z.string(),
	tenure: z.number().int(),
	steward: z.string(),
	/** Process life of the target that is meant; empty while the steward does not know it. */
	incarnation: z.string().default(''),
	/** End of the lease by this target's clock; 0 gives no lease and only asks for the clock. */
	until: z.number().nonnegative(),
	/** Whether shards that are not named are given up. */
	full: z.boolean().default(false),
	/** Pool, shard and fence of each granted shard. */
	shards: z.array(z.tuple([z.string(), z.number().int(), z.number().int()])).nullable().default(null),
	revoke: z.array(shardKey).default([]),
});

/** Body of `POST /control/grant`. */
export type Grant = z.infer<typeof grantSchema>;

/** Shards that a target owns, under one lease by its own clock. */
export class Grants {
	private tenure = Number.NEGATIVE_INFINITY;
	private leaseEnd = Number.NEGATIVE_INFINITY;
	/** End of the newest lease of the tenure; an older grant that arrives late ends earlier. */
	private newestEnd = Number.NEGATIVE_INFINITY;
	private lapse: number | undefined;
	private readonly fences = new Map<string, number>();

	/** Highest tenure seen; 0 before the first grant. */
	get highestTenure(): number {
		return Math.max(this.tenure, 0);
	}

	/** Number of shards under the lease at `now`. */
	count(now: number): number {
		this.expire(now);
		return this.fences.size;
	}

	/** Applies a grant at `now`; returns whether it is the newest one and its lease still runs. */
	apply(grant: Grant, now: number): boolean {
		if (grant.tenure < this.tenure) {
			return false;
		}

		this.expire(now);
		if (grant.tenure > this.tenure) {
			this.tenure = grant.tenure;
			this.newestEnd = Number.NEGATIVE_INFINITY;
		}

		if (grant.until <= Math.max(now, this.newestEnd)) {
			return grant.until === 0;
		}

		this.newestEnd = grant.until;

		if (grant.full) {
			this.fences.clear();
		}

		if (this.fences.size > 0) {
			this.lapse = undefined;
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

	/** Whether an order with this fence may run at `now`. */
	allows(pool: string, shard: number, fence: number, now: number): boolean {
		this.expire(now);
		return this.fences.get(`${pool}/${shard}`) === fence;
	}

	/** Time at which the shards were last lost by an expired lease; `now` when they were not. */
	expiredAt(now: number): number {
		this.expire(now);
		return this.lapse ?? now;
	}

	/** Forgets everything, as a restart does. */
	clear(): void {
		this.tenure = Number.NEGATIVE_INFINITY;
		this.leaseEnd = Number.NEGATIVE_INFINITY;
		this.newestEnd = Number.NEGATIVE_INFINITY;
		this.fences.clear();
	}

	private expire(now: number): void {
		if (now >= this.leaseEnd && this.fences.size > 0) {
			this.lapse = this.leaseEnd;
			this.fences.clear();
		}
	}
}
