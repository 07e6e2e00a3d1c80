/**
 * Who owns which keys of one sharded service. Immutable; the newest version is
 * the record in the store, and the offset of the record that gave a range away
 * is the fencing token of that range.
 */
import {
	allKeys, intersection, overlaps, type KeyRange,
} from './key-range.js';

/** A former owner that may still hold a range. */
export type FormerOwner = {
	readonly owner: string;
	readonly fence: number;
};

/** A range with one owner. */
export type RangeOwnership = KeyRange & {
	/** Process life of a target; empty for none. */
	readonly owner: string;
	/** Fencing token of the owner. */
	readonly fence: number;
	/** Former owners that neither released the range nor outlived their lease yet. */
	readonly formers: readonly FormerOwner[];
};

/** A range that changes its owner. */
export type KeyMove = KeyRange & {
	readonly owner: string;
};

/** The owners of all keys of one service. */
export class OwnershipMap {
	/** A map in which nobody owns anything. */
	static empty(): OwnershipMap {
		return new OwnershipMap([{
			...allKeys, owner: '', fence: 0, formers: [],
		}]);
	}

	/** Holdings in order of their keys; together they cover all keys. */
	readonly ranges: readonly RangeOwnership[];

	constructor(holdings: readonly RangeOwnership[]) {
		this.ranges = holdings;
	}

	/** The holding that has the key. */
	findByKey(key: number): RangeOwnership {
		let low = 0;
		let high = this.ranges.length - 1;
		while (low < high) {
			const middle = Math.floor((low + high + 1) / 2);
			if (this.ranges[middle].from <= key) {
				low = middle;
			} else {
				high = middle - 1;
			}
		}

		return this.ranges[low];
	}

	/** Holdings of one target. */
	findByOwner(owner: string): RangeOwnership[] {
		return this.ranges.filter(holding => holding.owner === owner);
	}

	/**
	 * Gives ranges to new owners under one fencing token. A range that stays
	 * with its owner gets the new token too.
	 */
	assign(moves: readonly KeyMove[], fence: number): OwnershipMap {
		let {ranges: holdings} = this;
		for (const move of moves) {
			holdings = holdings.flatMap(holding => splitAt(holding, move, part => handOver(part, move.owner, fence)));
		}

		return new OwnershipMap(mergeNeighbours(holdings));
	}

	/** Forgets that a former owner may hold keys of the range. */
	clearFormer(range: KeyRange, former: string): OwnershipMap {
		const holdings = this.ranges.flatMap(holding => splitAt(holding, range, part => ({
			...part, formers: part.formers.filter(({owner}) => owner !== former),
		})));
		// Neighbours are joined by the next write: what is known of their grants goes by single ranges.
		return new OwnershipMap(holdings);
	}

	/** Gives everything its present owner has a new fencing token, adjoining ranges as one. */
	renewFences(fence: number): OwnershipMap {
		const holdings = this.ranges.map(holding => holding.owner === '' ? holding : {...holding, fence});
		return new OwnershipMap(mergeNeighbours(holdings));
	}
}

function handOver(part: RangeOwnership, owner: string, fence: number): RangeOwnership {
	if (part.owner === owner || part.owner === '') {
		return {
			...part, owner, fence, formers: part.formers.filter(former => former.owner !== owner),
		};
	}

	const others = part.formers.filter(former => former.owner !== part.owner && former.owner !== owner);
	return {
		...part, owner, fence, formers: [...others, {owner: part.owner, fence: part.fence}],
	};
}

function splitAt(holding: RangeOwnership, range: KeyRange, change: (part: RangeOwnership) => RangeOwnership): RangeOwnership[] {
	const common = intersection(holding, range);
	if (common === undefined) {
		return [holding];
	}

	const parts: RangeOwnership[] = [];
	if (holding.from < common.from) {
		parts.push({...holding, to: common.from - 1});
	}

	parts.push(change({...holding, ...common}));
	if (common.to < holding.to) {
		parts.push({...holding, from: common.to + 1});
	}

	return parts;
}

function mergeNeighbours(holdings: readonly RangeOwnership[]): RangeOwnership[] {
	const merged: RangeOwnership[] = [];
	for (const holding of holdings) {
		const last = merged.at(-1);
		if (last !== undefined && isAlike(last, holding)) {
			merged[merged.length - 1] = {...last, to: holding.to};
		} else {
			merged.push(holding);
		}
	}

	return merged;
}

function isAlike(a: RangeOwnership, b: RangeOwnership): boolean {
	return a.owner === b.owner
		&& a.fence === b.fence
		&& a.formers.length === b.formers.length
		&& a.formers.every((former, i) => former.owner === b.formers[i].owner && former.fence === b.formers[i].fence);
}

/** Whether a holding has a key of the range. */
export function overlapsRange(holding: RangeOwnership, range: KeyRange): boolean {
	return overlaps(holding, range);
}
