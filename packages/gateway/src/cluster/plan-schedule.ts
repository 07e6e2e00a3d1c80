/** Interval between two plans that balance load, in milliseconds; load is measured over seconds. */
const balanceIntervalMs = 500;

/** The same while keys leave surges at once, in milliseconds; about the interval at which the load is reported. */
const surgeIntervalMs = 200;

/** Time without a new target before keys are first assigned, in milliseconds, so that all targets of a starting deployment get a share. */
const settleMs = 900;

/** Longest delay of the first assignment after the first target, in milliseconds. */
const maxSettleMs = 4000;

/**
 * Time from the start of a leader until it balances load, in milliseconds. All instances report within 600 ms; before
 * that, targets whose slowness is not reported yet seem up to four times as slow as the others.
 */
const minMeasuredMs = 1000;

/** State of a service on which the schedule is decided. */
export type PlanNeed = {
	/** Number of targets that may own keys; at least one. */
	readonly ownerCount: number;
	/** Whether no key has an owner yet. */
	readonly isFirstAssignment: boolean;
	/** Whether a range belongs to a target that may not own keys. */
	readonly hasUnusableOwner: boolean;
	/** Whether keys leave surges at once. */
	readonly detectsSurges: boolean;
};

/** Decides when the moves of keys of one service are planned. */
export class PlanSchedule {
	private lastPlanAt = Number.NEGATIVE_INFINITY;
	private firstOwnerAt: number | undefined;
	private ownerCount = 0;
	private ownersChangedAt = Number.NEGATIVE_INFINITY;

	/** Returns whether to plan now; if so, the next plan is due an interval later. */
	tryStart({ownerCount, isFirstAssignment, hasUnusableOwner, detectsSurges}: PlanNeed, now: number): boolean {
		this.firstOwnerAt ??= now;
		if (ownerCount !== this.ownerCount) {
			this.ownerCount = ownerCount;
			this.ownersChangedAt = now;
		}

		const isSettling = isFirstAssignment && now - this.ownersChangedAt < settleMs && now - this.firstOwnerAt < maxSettleMs;
		const isBalanceDue = now - this.lastPlanAt >= (detectsSurges ? surgeIntervalMs : balanceIntervalMs) && now - this.firstOwnerAt >= minMeasuredMs;
		if (isSettling || !(hasUnusableOwner || isBalanceDue)) {
			return false;
		}

		this.lastPlanAt = now;
		return true;
	}
}
