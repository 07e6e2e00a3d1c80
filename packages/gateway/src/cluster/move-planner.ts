import {
	planKeyMoves, type EligibleOwner, type KeyMove, type OwnershipMap,
} from '@bluebellyard/core';
import type {TickInput} from './ownership-manager-options.js';

/** Interval between two plans that balance load, in milliseconds; load is measured over seconds. */
const balanceIntervalMs = 500;

/** The same while keys leave surges at once, in milliseconds; about the interval at which the load is reported. */
const surgeIntervalMs = 200;

/** Time without a new target before keys are first assigned, in milliseconds, so that all targets of a starting deployment get a share. */
const settleMs = 900;

/** Longest delay of the first assignment after the first target, in milliseconds. */
const maxSettleMs = 4000;

/**
 * Time from the start of a leader until it moves keys of usable owners, in milliseconds. All instances report within
 * 600 ms. Before that, targets whose slowness is not reported yet seem up to four times as slow as the others.
 */
const minMeasuredMs = 1000;

/** Largest number of moves that a log line lists. */
const maxLoggedMoves = 8;

/** Moves that are due. */
export type MovePlan = {
	readonly moves: readonly KeyMove[];
	/** Whether keys have no usable owner. */
	readonly isHomeless: boolean;
};

/** Circumstances of a plan. */
export type PlanCircumstances = {
	/** Monotonic milliseconds. */
	readonly now: number;
	/** Returns whether keys of a usable owner can be moved without being closed until a lease has expired. */
	readonly isMovable: (move: KeyMove) => boolean;
};

/** Decides for one service and one leader when keys move. */
export class MovePlanner {
	private lastPlanAt = Number.NEGATIVE_INFINITY;
	private firstOwnerAt: number | undefined;
	private ownerCount = 0;
	private ownersChangedAt = Number.NEGATIVE_INFINITY;

	/** Returns the moves that are due now. */
	plan(map: OwnershipMap, {owners, rates, recentLoad}: Pick<TickInput, 'owners' | 'rates' | 'recentLoad'>, {now, isMovable}: PlanCircumstances): MovePlan {
		if (owners.length === 0) {
			return {moves: [], isHomeless: true};
		}

		this.firstOwnerAt ??= now;
		if (owners.length !== this.ownerCount) {
			this.ownerCount = owners.length;
			this.ownersChangedAt = now;
		}

		const usableIds = new Set(owners.map(owner => owner.id));
		const isHomeless = map.ranges.some(range => !usableIds.has(range.owner));
		const isFirstAssignment = map.ranges.every(range => range.owner === '');
		const isSettling = isFirstAssignment && now - this.ownersChangedAt < settleMs && now - this.firstOwnerAt < maxSettleMs;
		const isBalanceDue = now - this.lastPlanAt >= (recentLoad === undefined ? balanceIntervalMs : surgeIntervalMs) && now - this.firstOwnerAt >= minMeasuredMs;
		if (isSettling || !(isHomeless || isBalanceDue)) {
			return {moves: [], isHomeless};
		}

		this.lastPlanAt = now;
		const moves = planKeyMoves(map, owners, rates(), recentLoad?.());
		return {moves: isHomeless ? moves : moves.filter(move => isMovable(move)), isHomeless};
	}
}

/** Returns the fields by which the log describes a plan. */
export function toLogFields({moves, isHomeless}: MovePlan, owners: readonly EligibleOwner[]): Record<string, unknown> {
	const capacities = new Map(owners.map(({id, capacity}) => [id, capacity]));
	const loggedMoves = moves.slice(0, maxLoggedMoves);
	return {
		moves: loggedMoves.map(({from, to, owner}) => `${from}-${to}>${owner}`),
		capacities: loggedMoves.map(({owner}) => Math.round((capacities.get(owner) ?? 0) * 100) / 100),
		count: moves.length,
		isHomeless,
	};
}
