/**
 * Ownership of the keys of one sharded service. Maps are immutable. The store
 * holds the newest one. The record that assigned a range, by its era and offset,
 * is the fencing token of that range.
 */
import {
	allKeys, intersection, overlaps, type KeyRange,
} from './key-range.js';

/** A former owner whose lease on a range may not have expired yet. */
export type FormerOwner = {
	readonly owner: string;
	readonly fence: number;
	/**
	 * Whether it had answered all grants of the range when it lost it, and was sent no others after that. Once it has
	 * then released the range, no grant of it can be carried out later. Absent if that is not known.
	 */
	readonly isSettled?: true;
};

/** A range of keys with its owner. */
export type RangeOwnership = KeyRange & {
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
export class OwnershipMap {
	/** Returns a map in which no key has an owner. */
	static empty(): OwnershipMap {
		return new OwnershipMap([{
			...allKeys, owner: '', fence: 0, formers: [],
		}]);
	}

	/** Ranges in order of keys; they cover every key exactly once. */
	readonly ranges: readonly RangeOwnership[];

	constructor(ranges: readonly RangeOwnership[]) {
		this.ranges = ranges;
	}

	/** Whether any key has an owner. */
	get hasOwners(): boolean {
		return this.ranges.some(range => range.owner !== '');
	}

	/** Returns the range that contains the key. */
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

	/** Returns the ranges that share a key with the given one. */
	findOverlapping(range: KeyRange): RangeOwnership[] {
		return this.ranges.filter(ownership => overlaps(ownership, range));
	}

	/** Returns the ranges of one owner. */
	findByOwner(owner: string): RangeOwnership[] {
		return this.ranges.filter(ownership => ownership.owner === owner);
	}

	/**
	 * Assigns ranges to new owners with one fencing token. A range that is
	 * assigned to its present owner gets the new token, too. `isSettled` returns whether the owner of a part
	 * that it loses has answered all grants.
	 */
	assign(moves: readonly KeyMove[], fence: number, isSettled: (part: RangeOwnership) => boolean = () => false): OwnershipMap {
		let {ranges} = this;
		for (const move of moves) {
			ranges = ranges.flatMap(ownership => changePart(ownership, move, part => transfer(part, {owner: move.owner, fence, isSettled})));
		}

		return new OwnershipMap(mergeAdjacent(ranges));
	}

	/** Removes a former owner from the keys of a range. */
	clearFormer(range: KeyRange, former: string): OwnershipMap {
		const ranges = this.ranges.flatMap(ownership => changePart(ownership, range, part => ({
			...part, formers: part.formers.filter(({owner}) => owner !== former),
		})));
		// Adjacent ranges are merged by the next assignment or renewal of fences, not here, since the state of grants is kept per range.
		return new OwnershipMap(ranges);
	}

	/** Returns the map without what it states of the grants of former owners, because records may have been lost since. */
	forgetSettled(): OwnershipMap {
		return new OwnershipMap(this.ranges.map(ownership => ({
			...ownership, formers: ownership.formers.map(({owner, fence}) => ({owner, fence})),
		})));
	}

	/** Gives all owned ranges a new fencing token and merges adjacent ranges of one owner. */
	renewFences(fence: number): OwnershipMap {
		const ranges = this.ranges.map(ownership => ownership.owner === '' ? ownership : {...ownership, fence});
		return new OwnershipMap(mergeAdjacent(ranges));
	}
}

type Assignment = {
	readonly owner: string;
	readonly fence: number;
	readonly isSettled: (part: RangeOwnership) => boolean;
};

function transfer(part: RangeOwnership, {owner, fence, isSettled}: Assignment): RangeOwnership {
	if (part.owner === owner || part.owner === '') {
		return {
			...part, owner, fence, formers: part.formers.filter(former => former.owner !== owner),
		};
	}

	const others = part.formers.filter(former => former.owner !== part.owner && former.owner !== owner);
	const former: FormerOwner = {owner: part.owner, fence: part.fence, ...(isSettled(part) && {isSettled: true})};
	return {
		...part, owner, fence, formers: [...others, former],
	};
}

function changePart(ownership: RangeOwnership, range: KeyRange, change: (part: RangeOwnership) => RangeOwnership): RangeOwnership[] {
	const common = intersection(ownership, range);
	if (common === undefined) {
		return [ownership];
	}

	const parts: RangeOwnership[] = [];
	if (ownership.from < common.from) {
		parts.push({...ownership, to: common.from - 1});
	}

	parts.push(change({...ownership, ...common}));
	if (common.to < ownership.to) {
		parts.push({...ownership, from: common.to + 1});
	}

	return parts;
}

function mergeAdjacent(ranges: readonly RangeOwnership[]): RangeOwnership[] {
	const merged: RangeOwnership[] = [];
	for (const ownership of ranges) {
		const last = merged.at(-1);
		if (last !== undefined && hasSameOwners(last, ownership)) {
			merged[merged.length - 1] = {...last, to: ownership.to};
		} else {
			merged.push(ownership);
		}
	}

	return merged;
}

function hasSameOwners(a: RangeOwnership, b: RangeOwnership): boolean {
	return a.owner === b.owner
		&& a.fence === b.fence
		&& a.formers.length === b.formers.length
		&& a.formers.every((former, i) => isSameFormer(former, b.formers[i]));
}

function isSameFormer(a: FormerOwner, b: FormerOwner): boolean {
	return a.owner === b.owner && a.fence === b.fence && a.isSettled === b.isSettled;
}

/** Returns whether an owned range contains a key of another range. */
export function overlapsRange(ownership: RangeOwnership, range: KeyRange): boolean {
	return overlaps(ownership, range);
}
