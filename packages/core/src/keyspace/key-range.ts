/** Number of keys of a sharded service; keys are 0 to `keyCount - 1`. */
export const keyCount = 65_536;

/** A range of keys, both ends included. */
export type KeyRange = {
	readonly from: number;
	readonly to: number;
};

/** The range of all keys. */
export const allKeys: KeyRange = {from: 0, to: keyCount - 1};

/** Returns the number of keys in a range. */
export function rangeSize({from, to}: KeyRange): number {
	return to - from + 1;
}

/** Returns whether two ranges share a key. */
export function overlaps(a: KeyRange, b: KeyRange): boolean {
	return a.from <= b.to && b.from <= a.to;
}

/** Returns the keys that both ranges contain; undefined when there are none. */
export function intersection(a: KeyRange, b: KeyRange): KeyRange | undefined {
	return overlaps(a, b) ? {from: Math.max(a.from, b.from), to: Math.min(a.to, b.to)} : undefined;
}
