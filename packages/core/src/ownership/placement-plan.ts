import {
	hashText, isEligible, type PoolRow, type TargetRow, type Tables,
} from '../state/index.js';

/** Desired owner of each shard, by pool; empty for none. */
export type PlacementPlan = {
	/** Offset of the last record folded into the tables that the plan was computed from. */
	readonly folded: number;
	readonly owners: ReadonlyMap<string, readonly string[]>;
};

/** Load of a pool, in requests per second, below which all shards weigh the same. */
const minPoolLoad = 20;

/** Share of the mean shard load that is added to the weight of every shard, so that idle shards are spread too. */
const baseWeightShare = 0.2;

/** Weight of a target, relative to the mean, above which it hands over shards. */
const highRatio = 1.15;

/** Weight of a target, relative to the mean, below which it receives shards. */
const lowRatio = 0.85;

/** Maximum number of shards that one plan moves for balance; later plans continue. */
const maxBalanceMoves = 128;

/** Load of an isolated key, relative to the mean load of a shard, up to which it is merged back. */
export const cooledRatio = 1;

/**
 * Computes the placement of all pools. The result depends only on the tables, so
 * every member computes the same plan.
 */
export function planPlacement(tables: Tables): PlacementPlan {
	const owners = new Map<string, readonly string[]>();
	for (const pool of tables.pools.values()) {
		const targets = [...tables.targets.values()].filter(row => row.pool === pool.name && isEligible(tables, row));
		owners.set(pool.name, planPool(pool, targets));
	}

	return {folded: tables.folded, owners};
}

/** Computes the owners of the shards of one pool, balanced by measured load with few moves. */
export function planPool(pool: PoolRow, targets: readonly TargetRow[]): string[] {
	if (targets.length === 0) {
		return pool.shards.map(shard => shard.owner);
	}

	const draft = new PlanBuilder(pool, targets.map(row => row.name));
	draft.placeUnowned();
	draft.balance();
	draft.colocateCooledKeys();
	return draft.owners;
}

/** Returns whether a shard belongs to an isolated key whose load has dropped. */
export function isCooled(pool: PoolRow, shard: number): boolean {
	const row = pool.shards[shard];
	return shard >= pool.hashed && row !== undefined && row.base >= 0 && row.load <= cooledRatio * meanLoad(pool);
}

function meanLoad(pool: PoolRow): number {
	return totalLoad(pool) / pool.hashed;
}

function totalLoad(pool: PoolRow): number {
	let total = 0;
	for (const shard of pool.shards) {
		total += shard.load;
	}

	return total;
}

/** Builds the plan of one pool. */
class PlanBuilder {
	readonly owners: string[];
	private readonly weights: readonly number[];
	/** Weight by target. */
	private readonly targetWeights: Map<string, number>;
	private readonly meanWeight: number;

	constructor(private readonly pool: PoolRow, targets: readonly string[]) {
		this.weights = shardWeights(pool);
		this.targetWeights = new Map(targets.map(name => [name, 0]));
		this.owners = pool.shards.map(shard => this.targetWeights.has(shard.owner) ? shard.owner : '');
		let total = 0;
		for (const [shard, owner] of this.owners.entries()) {
			total += this.weights[shard];
			if (owner !== '') {
				this.addWeight(owner, this.weights[shard]);
			}
		}

		this.meanWeight = total / targets.length;
	}

	/** Assigns each shard without an eligible owner to the lightest target, heavy shards first. */
	placeUnowned(): void {
		const unowned = [...this.owners.keys()]
			.filter(shard => this.owners[shard] === '' && this.pool.shards[shard].base >= 0)
			.toSorted((a, b) => this.weights[b] - this.weights[a] || this.tieBreak(a) - this.tieBreak(b));
		for (const shard of unowned) {
			this.assign(shard, this.lightest());
		}
	}

	/** Moves shards from the heaviest target to the lightest as long as that brings both closer to the mean. */
	balance(): void {
		for (let moves = 0; moves < maxBalanceMoves; moves += 1) {
			const heavy = this.heaviest();
			const light = this.lightest();
			const high = this.targetWeights.get(heavy)!;
			const low = this.targetWeights.get(light)!;
			const isBalanced = high <= highRatio * this.meanWeight && low >= lowRatio * this.meanWeight;
			const shard = isBalanced ? undefined : this.bestFit(heavy, high - low);
			if (shard === undefined) {
				return;
			}

			this.assign(shard, light);
		}
	}

	/** Assigns each cooled key to the owner of the shard that it hashes to, where it can be merged. */
	colocateCooledKeys(): void {
		for (let shard = this.pool.hashed; shard < this.owners.length; shard += 1) {
			const {base} = this.pool.shards[shard];
			if (base >= 0 && isCooled(this.pool, shard)) {
				this.owners[shard] = this.owners[base]!;
			}
		}
	}

	/** Returns the shard of a target whose weight is closest to half the gap and below the gap. */
	private bestFit(target: string, gap: number): number | undefined {
		let best: number | undefined;
		let bestWeight = 0;
		for (const [shard, owner] of this.owners.entries()) {
			const weight = this.weights[shard];
			const isBetter = Math.abs(weight - (gap / 2)) < Math.abs(bestWeight - (gap / 2));
			if (owner === target && weight < gap && (best === undefined || isBetter)) {
				best = shard;
				bestWeight = weight;
			}
		}

		return best;
	}

	private assign(shard: number, target: string): void {
		const former = this.owners[shard];
		if (former !== '') {
			this.addWeight(former, -this.weights[shard]);
		}

		this.owners[shard] = target;
		this.addWeight(target, this.weights[shard]);
	}

	private addWeight(target: string, weight: number): void {
		this.targetWeights.set(target, this.targetWeights.get(target)! + weight);
	}

	private lightest(): string {
		return this.findExtreme((a, b) => a < b);
	}

	private heaviest(): string {
		return this.findExtreme((a, b) => a > b);
	}

	/** Returns the target with the extreme weight; ties are resolved by name so that all members agree. */
	private findExtreme(precedes: (a: number, b: number) => boolean): string {
		let found = '';
		let value = 0;
		for (const [name, weight] of this.targetWeights) {
			if (found === '' || precedes(weight, value) || (weight === value && name < found)) {
				found = name;
				value = weight;
			}
		}

		return found;
	}

	private tieBreak(shard: number): number {
		return hashText(`${this.pool.name}/${shard}`);
	}
}

/** Returns the weight of each shard: its load plus a base weight; 0 for a row not in use. */
function shardWeights(pool: PoolRow): number[] {
	const total = totalLoad(pool);
	const isIdle = total < minPoolLoad;
	const baseWeight = isIdle ? 1 : (baseWeightShare * total) / pool.hashed;
	return pool.shards.map(shard => {
		if (shard.base < 0) {
			return 0;
		}

		return isIdle ? 1 : shard.load + baseWeight;
	});
}
