import {
	leaseExpiry, overlaps, type KeyRange, type LeaseTiming,
} from '@bluebellyard/core';
import {pendingSince, type GrantState} from './grant.js';

/**
 * Ranges that are about to move and whose owners have answered all grants. The record of the move says so, and their
 * owners get no grants until it is written. A later leader can then grant such a range as soon as the former owner has
 * released it, without waiting until all grants of former leaders have certainly expired.
 */
export class HeldRanges {
	private ranges: KeyRange[] = [];
	private readonly timing: LeaseTiming;

	constructor(timing: LeaseTiming) {
		this.timing = timing;
	}

	/** Whether no range is held. */
	get isEmpty(): boolean {
		return this.ranges.length === 0;
	}

	/** Holds a range if none of the grants to its owner can be carried out any more. Returns whether that is so. */
	tryHold(range: KeyRange, grants: ReadonlyArray<GrantState | undefined>, now: number): boolean {
		const isSettled = grants.every(grant => grant !== undefined && now >= leaseExpiry(pendingSince(grant, now), this.timing));
		if (isSettled) {
			this.ranges.push(range);
		}

		return isSettled;
	}

	/** Returns whether a part of a range is held. */
	includes(range: KeyRange): boolean {
		return this.ranges.some(held => overlaps(held, range));
	}

	/** Returns the parts of a range that are not held. */
	withoutHeld({from, to}: KeyRange): KeyRange[] {
		let parts: KeyRange[] = [{from, to}];
		for (const held of this.ranges) {
			parts = parts.flatMap(part => overlaps(part, held)
				? [{from: part.from, to: held.from - 1}, {from: held.to + 1, to: part.to}].filter(rest => rest.from <= rest.to)
				: [part]);
		}

		return parts;
	}

	/** Ends the hold once the record of the move is written, or states nothing that counts. */
	clear(): void {
		this.ranges = [];
	}
}
