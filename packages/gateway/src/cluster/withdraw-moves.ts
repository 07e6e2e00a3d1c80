import type {OwnershipMap, RangeOwnership} from '@bluebellyard/core';

/** Returns a map in which ranges that were moved belong to their former owner again, under a new fencing token. The new owner must never have been granted them. */
export function withdrawMoves(map: OwnershipMap, canWithdraw: (range: RangeOwnership) => boolean, fence: number): OwnershipMap {
	let result = map;
	for (const range of map.ranges) {
		if (canWithdraw(range)) {
			const {owner, formers: [former]} = range;
			result = result.assign([{from: range.from, to: range.to, owner: former.owner}], fence).clearFormer(range, owner);
		}
	}

	return result;
}
