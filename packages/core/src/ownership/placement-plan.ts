import {
	hashText, isEligible, type PoolRow, type TargetRow, type Tables,
} from '../state/index.js';

/** Desired owner of each shard, by pool; empty for none. */
export type PlacementPlan = {
	/** Offset of the tables that it was computed from. */
	readonly folded: number;
	readonly owners: ReadonlyMap<string, readonly string[]>;
};

/** Load of a pool, in requests a second, below which shards count alike. */
const minPoolLoad = 20;

/** Part of the mean shard load that every shard weighs in addition, so that idle shards are spread too. */
const idleShare = 0.2;

/** Weight of a target over the mean above which it gives shards away. */
const highRatio = 1.15;

/** Weight of a target over the mean below which it receives shards. */
const lowRatio = 0.85;

/** Shards that one plan moves for balance; the next plan goes on. */
const maxEvenMoves = 128;

/** Load of a hot key over the mean load of a shard below which it belongs with its hashed shard again. */
export const cooledRatio = 1;

/**
 * Plans all pools. The result depends on the tables alone, so that every
 * member plans the same.
 */
export function planPlacement(tables: Tables): PlacementPlan {
	const owners = new Map<string, readonly string[]>();
	for (const pool of tables.pools.values()) {
		const targets = [...tables.targets.values()].filter(row => row.pool === pool.name && isEligible(tables, row));
		owners.set(pool.name, planPool(pool, targets));
	}

	return {folded: tables.folded, owners};
}

/** Plans one pool: evenly by measured load, with few moves. */
export function planPool(pool: PoolRow, targets: readonly TargetRow[]): string[] {
	if (targets.length === 0) {
		return pool.shards.map(shard => shard.owner);
	}

	const draft = new Draft(pool, targets.map(row => row.name));
	draft.placeHomeless();
	draft.even();
	draft.gatherCooled();
	return draft.owners;
}

/** Whether the key of a shard of its own has cooled down. */
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

/** A plan of one pool in the making. */
class Draft {
	readonly owners: string[];
	private readonly weights: readonly number[];
	/** Weight by target. */
	private readonly sums: Map<string, number>;
	private readonly mean: number;

	constructor(private readonly pool: PoolRow, targets: readonly string[]) {
		this.weights = shardWeights(pool);
		this.sums = new Map(targets.map(name => [name, 0]));
		this.owners = pool.shards.map(shard => this.sums.has(shard.owner) ? shard.owner : '');
		let total = 0;
		for (const [shard, owner] of this.owners.entries()) {
			total += this.weights[shard];
			if (owner !== '') {
				this.add(owner, this.weights[shard]);
			}
		}

		this.mean = total / targets.length;
	}

	/** Gives each shard without a usable owner to the lightest target, heavy shards first. */
	placeHomeless(): void {
		const homeless = [...this.owners.keys()]
			.filter(shard => this.owners[shard] === '' && this.pool.shards[shard].base >= 0)
			.toSorted((a, b) => this.weights[b] - this.weights[a] || this.spread(a) - this.spread(b));
		for (const shard of homeless) {
			this.give(shard, this.lightest());
		}
	}

	/** Moves shards from the heaviest target to the lightest while that brings both closer to the mean. */
	even(): void {
		for (let moves = 0; moves < maxEvenMoves; moves += 1) {
			const heavy = this.heaviest();
			const light = this.lightest();
			const high = this.sums.get(heavy)!;
			const low = this.sums.get(light)!;
			const isEven = high <= highRatio * this.mean && low >= lowRatio * this.mean;
			const shard = isEven ? undefined : this.bestFit(heavy, high - low);
			if (shard === undefined) {
				return;
			}

			this.give(shard, light);
		}
	}

	/** Brings each cooled key next to the shard that it hashes to, where it can be merged. */
	gatherCooled(): void {
		for (let shard = this.pool.hashed; shard < this.owners.length; shard += 1) {
			const {base} = this.pool.shards[shard];
			if (base >= 0 && isCooled(this.pool, shard)) {
				this.owners[shard] = this.owners[base]!;
			}
		}
	}

	/** Shard of a target whose weight comes closest to half the gap and stays below it. */
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

	private give(shard: number, target: string): void {
		const former = this.owners[shard];
		if (former !== '') {
			this.add(former, -this.weights[shard]);
		}

		this.owners[shard] = target;
		this.add(target, this.weights[shard]);
	}

	private add(target: string, weight: number): void {
		this.sums.set(target, this.sums.get(target)! + weight);
	}

	private lightest(): string {
		return this.extreme((a, b) => a < b);
	}

	private heaviest(): string {
		return this.extreme((a, b) => a > b);
	}

	/** The first target that no other one beats; ties go by name, so that all members agree. */
	private extreme(beats: (a: number, b: number) => boolean): string {
		let found = '';
		let value = 0;
		for (const [name, sum] of this.sums) {
			if (found === '' || beats(sum, value) || (sum === value && name < found)) {
				found = name;
				value = sum;
			}
		}

		return found;
	}

	private spread(shard: number): number {
		return hashText(`${this.pool.name}/${shard}`);
	}
}

/** Weight of each shard: its load, and a little for being there; 0 for a row not in use. */
function shardWeights(pool: PoolRow): number[] {
	const total = totalLoad(pool);
	const isIdle = total < minPoolLoad;
	const idle = isIdle ? 1 : (idleShare * total) / pool.hashed;
	return pool.shards.map(shard => {
		if (shard.base < 0) {
			return 0;
		}

		return isIdle ? 1 : shard.load + idle;
	});
}
