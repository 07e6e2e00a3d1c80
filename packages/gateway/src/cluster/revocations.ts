/**
 * Takes ranges from their former owners: asks for a release, and knows when a
 * former owner surely holds nothing any more.
 */
import {
	intersection, leaseExpiry, overlaps, rangeSize, type Clock, type FormerOwner, type LeaseTiming, type RangeOwnership, type KeyRange,
} from '@bluebellyard/core';
import type {TargetControl, TargetRef} from '../ports/index.js';
import type {Telemetry} from '../telemetry/index.js';

/** Longest wait for the answer to a release, in milliseconds: it comes when running work has ended. */
const releaseTimeoutMs = 2500;

/** Time until a release that failed is sent again, in milliseconds. */
const retryMs = 250;

/** Settings of departures. */
export type RevocationsOptions = {
	readonly service: string;
	readonly control: TargetControl;
	readonly clock: Clock;
	readonly timing: LeaseTiming;
	readonly telemetry: Telemetry;
	/** Called when a release was answered or failed. */
	readonly onChange: () => void;
	/** Where a target is or was. */
	readonly findTarget: (owner: string) => TargetRef | undefined;
	/** Whether the process is known to have ended. */
	readonly hasEnded: (owner: string) => boolean;
	/** Time at which the grants of former leaders have surely lapsed. */
	readonly inheritedLeaseEnd: () => number;
};

/** What is known of the last grants that a former owner got. */
export type LastGrants = {
	readonly now: number;
	/** Whether it accepted a grant of this leader, so that those of former leaders are void. */
	readonly isFenced: boolean;
	/** When the last grant that is still without an answer was sent; long ago when there is none. */
	readonly pendingSince: number;
};

type Departure = {
	readonly range: KeyRange;
	readonly former: string;
	/** Whether it accepted a grant of this leader, so that those of former leaders are void. */
	readonly isFenced: boolean;
	/** From then on the former owner holds nothing by a grant of this leader, released or not. */
	readonly lapsesAt: number;
	/** From then on an answered release is enough, as far as grants of this leader go. */
	readonly releaseCountsAt: number;
	isInFlight: boolean;
	isReleased: boolean;
	nextAt: number;
	handover: string | undefined;
};

/** Former owners of the ranges of one service. */
export class Revocations {
	private readonly options: RevocationsOptions;
	private readonly rows = new Map<string, Departure>();

	constructor(options: RevocationsOptions) {
		this.options = options;
	}

	/** Begins to take a range from a former owner; does nothing when it began before. */
	begin(range: RangeOwnership, former: FormerOwner, {now, isFenced, pendingSince}: LastGrants): void {
		const key = keyOf(range, former);
		if (this.rows.has(key)) {
			return;
		}

		const {timing} = this.options;
		this.rows.set(key, this.underWay(range, former.owner) ?? {
			range,
			former: former.owner,
			isFenced,
			lapsesAt: leaseExpiry(now, timing),
			releaseCountsAt: leaseExpiry(pendingSince, timing),
			isInFlight: false,
			isReleased: false,
			nextAt: now,
			handover: undefined,
		});
	}

	/** Forgets departures of ranges that are not in the map any more. */
	keepOnly(holdings: readonly RangeOwnership[]): void {
		const keys = new Set(holdings.flatMap(holding => holding.formers.map(former => keyOf(holding, former))));
		for (const key of this.rows.keys()) {
			if (!keys.has(key)) {
				this.rows.delete(key);
			}
		}
	}

	/** Whether a former owner surely holds nothing of a range any more; asks it for a release if not. */
	tryComplete(range: RangeOwnership, former: FormerOwner, now: number): boolean {
		if (this.options.hasEnded(former.owner)) {
			return true;
		}

		// A former leader began it; its grants count until they have surely lapsed.
		this.begin(range, former, {now, isFenced: false, pendingSince: Number.NEGATIVE_INFINITY});
		const row = this.rows.get(keyOf(range, former))!;
		// Former leaders may turn out to have ended sooner than was thought when the departure began.
		const inheritedEnd = row.isFenced ? Number.NEGATIVE_INFINITY : this.options.inheritedLeaseEnd();
		if (now >= inheritedEnd && (now >= row.lapsesAt || (row.isReleased && now >= row.releaseCountsAt))) {
			return true;
		}

		if (!row.isReleased && !row.isInFlight && now >= row.nextAt) {
			void this.release(range, former, row);
		}

		return false;
	}

	/** Forgets a departure that ended; what the former owner handed over, when it did. */
	remove(range: RangeOwnership, former: FormerOwner): string | undefined {
		const key = keyOf(range, former);
		const handover = this.rows.get(key)?.handover;
		this.rows.delete(key);
		return handover;
	}

	/** A departure that began when the range was cut otherwise, or had another token: what was known then still counts. */
	private underWay({from, to}: KeyRange, former: string): Departure | undefined {
		const range = {from, to};
		const parts = [...this.rows.values()].filter(row => row.former === former && overlaps(row.range, range));
		const covered = parts.reduce((sum, row) => sum + rangeSize(intersection(row.range, range)!), 0);
		if (covered < rangeSize(range)) {
			return undefined;
		}

		return {
			range,
			former,
			isFenced: parts.every(row => row.isFenced),
			lapsesAt: Math.max(...parts.map(row => row.lapsesAt)),
			releaseCountsAt: Math.max(...parts.map(row => row.releaseCountsAt)),
			isInFlight: false,
			isReleased: parts.every(row => row.isReleased),
			nextAt: Math.max(...parts.map(row => row.nextAt)),
			handover: parts.find(row => row.handover !== undefined)?.handover,
		};
	}

	private async release(range: KeyRange, former: FormerOwner, row: Departure): Promise<void> {
		const {
			control, findTarget: targetOf, clock, telemetry, service, onChange,
		} = this.options;
		const target = targetOf(former.owner);
		if (target === undefined) {
			return;
		}

		row.isInFlight = true;
		try {
			row.handover = await control.release(target, {from: range.from, to: range.to, fence: former.fence}, releaseTimeoutMs);
			row.isReleased = true;
		} catch (err) {
			telemetry.warn('keeper', 'A release was not answered.', {
				service, owner: former.owner, from: range.from, to: range.to, err,
			});
			row.nextAt = clock.now() + retryMs;
		} finally {
			row.isInFlight = false;
		}

		onChange();
	}
}

function keyOf({from, to, fence}: RangeOwnership, former: FormerOwner): string {
	return `${from}-${to}/${fence}<${former.owner}/${former.fence}`;
}
