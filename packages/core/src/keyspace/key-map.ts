/**
 * Ownership of the keys of one sharded service. Maps are immutable. The store
 * holds the newest one, and the offset of the record that assigned a range is
 * the fencing token of that range.
 */
import {
	allKeys, intersection, overlaps, type KeyRange,
} from './key-range.js';

/** A former owner whose lease on a range may not have expired yet. */
export type FormerOwner = {
	readonly owner: string;
	readonly fence: number;
};

/** A range of keys with its owner. */
export type Holding = KeyRange & {
	/** Incarnation of a target; empty when the range has no owner. */
	readonly owner: string;
	/** Fencing token of the owner. */
	readonly fence: number;
	/** Former owners that have not released the range and whose leases may not have expired. */
	readonly formers: readonly FormerOwner[];
};

/** A range with its new owner. */
export type KeyMove = KeyRange & {
	readonly owner: string;
};

/** Owners of all keys of one service. */
export class KeyMap {
	/** Returns a map in which no key has an owner. */
	static empty(): KeyMap {
		return new KeyMap([{
			...allKeys, owner: '', fence: 0, formers: [],
		}]);
	}

	/** Ranges in order of keys; they cover every key exactly once. */
	readonly holdings: readonly Holding[];

	constructor(holdings: readonly Holding[]) {
		this.holdings = holdings;
	}

	/** Returns the range that contains the key. */
	at(key: number): Holding {
		let low = 0;
		let high = this.holdings.length - 1;
		while (low < high) {
			const middle = Math.floor((low + high + 1) / 2);
			if (this.holdings[middle].from <= key) {
				low = middle;
			} else {
				high = middle - 1;
			}
		}

		return this.holdings[low];
	}

	/** Returns the ranges of one owner. */
	of(owner: string): Holding[] {
		return this.holdings.filter(ownership => ownership.owner === owner);
	}

	/**
	 * Assigns ranges to new owners with one fencing token. A range that is
	 * assigned to its present owner gets the new token, too.
	 */
	assign(moves: readonly KeyMove[], fence: number): KeyMap {
		let {holdings} = this;
		for (const move of moves) {
			holdings = holdings.flatMap(ownership => changePart(ownership, move, part => transfer(part, move.owner, fence)));
		}

		return new KeyMap(mergeAdjacent(holdings));
	}

	/** Removes a former owner from the keys of a range. */
	clearFormer(range: KeyRange, former: string): KeyMap {
		const holdings = this.holdings.flatMap(ownership => changePart(ownership, range, part => ({
			...part, formers: part.formers.filter(({owner}) => owner !== former),
		})));
		// Adjacent ranges are merged by the next assignment or renewal of fences, not here, since the state of grants is kept per range.
		return new KeyMap(holdings);
	}

	/** Gives all owned ranges a new fencing token and merges adjacent ranges of one owner. */
	refence(fence: number): KeyMap {
		const holdings = this.holdings.map(ownership => ownership.owner === '' ? ownership : {...ownership, fence});
		return new KeyMap(mergeAdjacent(holdings));
	}
}

function transfer(part: Holding, owner: string, fence: number): Holding {
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

function changePart(ownership: Holding, range: KeyRange, change: (part: Holding) => Holding): Holding[] {
	const common = intersection(ownership, range);
	if (common === undefined) {
		return [ownership];
	}

	const parts: Holding[] = [];
	if (ownership.from < common.from) {
		parts.push({...ownership, to: common.from - 1});
	}

	parts.push(change({...ownership, ...common}));
	if (common.to < ownership.to) {
		parts.push({...ownership, from: common.to + 1});
	}

	return parts;
}

function mergeAdjacent(holdings: readonly Holding[]): Holding[] {
	const merged: Holding[] = [];
	for (const ownership of holdings) {
		const last = merged.at(-1);
		if (last !== undefined && hasSameOwners(last, ownership)) {
			merged[merged.length - 1] = {...last, to: ownership.to};
		} else {
			merged.push(ownership);
		}
	}

	return merged;
}

function hasSameOwners(a: Holding, b: Holding): boolean {
	return a.owner === b.owner
		&& a.fence === b.fence
		&& a.formers.length === b.formers.length
		&& a.formers.every((former, i) => former.owner === b.formers[i].owner && former.fence === b.formers[i].fence);
}

/** Returns whether an owned range contains a key of another range. */
export function touches(ownership: Holding, range: KeyRange): boolean {
	return overlaps(ownership, range);
}
