/**
 * Decides which keys move to other owners. Covers two cases: targets that join,
 * leave and differ in speed; and runs of adjacent busy keys that appear within
 * seconds and overload a single target.
 */
import type {RangeOwnership, OwnershipMap, KeyMove} from './ownership-map.js';
import {keyCount, rangeSize, type KeyRange} from './key-range.js';

/** A target that may own keys. */
export type EligibleOwner = {
	readonly id: string;
	/** Load that it can serve, in slots of normal speed. */
	readonly capacity: number;
};

/** Load by key in busy slots, in order of keys. */
export type KeyRates = ReadonlyArray<readonly [key: number, busy: number]>;

/** Utilization above which keys move away from a target; below it, its queue stays short. */
const highUtilization = 0.7;

/** Ratio of a target's utilization to the mean above which keys move away from it. */
const highRatio = 1.3;

/** Utilization that a target may reach through the keys it receives. */
const receiverUtilization = 0.65;

/** Smallest load worth moving, in busy slots. */
const minMovedLoad = 0.15;

/** Share of a small donor's capacity that is worth moving, too. */
const minMovedShare = 0.3;

/** Lower bound of the move limit of one rebalancing plan; the next plan continues. */
const minMovesPerPlan = 10;

/** Move limit of one rebalancing plan per target. */
const movesPerOwner = 0.25;

/** Load of one request in slots: about 170 ms of work in the 1.7 s over which load is measured. */
const loadPerRequest = 0.1;

/** Standard deviations by which a measured load must exceed the limit before keys move, so that noise moves few keys. */
const minDeviations = 0.7;

/** Load measured over a short time, to detect keys that become hot within a fraction of a second. */
export type RecentLoad = {
	readonly rates: KeyRates;
	/** Load of one request in busy slots, as measured over that time; the shorter the time, the more one request counts. */
	readonly loadPerRequest: number;
};

/** Returns the moves that are due now. Keys move away from a surge at once if `recent` is given. */
export function planKeyMoves(map: OwnershipMap, owners: readonly EligibleOwner[], rates: KeyRates, recent?: RecentLoad): KeyMove[] {
	if (owners.length === 0) {
		return [];
	}

	const unowned = planUnowned(map, owners, rates);
	if (unowned.length > 0) {
		return unowned;
	}

	const newOwners = planNewOwners(map, owners, rates);
	if (newOwners.length > 0) {
		return newOwners;
	}

	const surge = recent === undefined ? [] : planSurge(map, owners, rates, recent);
	return surge.length > 0 ? surge : planRebalance(map, owners, rates);
}

/** Returns whether a load that was measured over a short time certainly overloads a target, so that its keys must not wait for the usual plan. */
function isSurging(busy: number, capacity: number, loadPerRequest: number): boolean {
	return busy - (surgeDeviations * Math.sqrt(busy * loadPerRequest)) > highUtilization * capacity;
}

/** Standard deviations by which a load that was measured over a short time must exceed the limit; a few requests more or less are no surge. */
const surgeDeviations = 2;

type OwnerLoad = {
	readonly owner: EligibleOwner;
	busy: number;
	keys: number;
};

function sumLoads(map: OwnershipMap, owners: readonly EligibleOwner[], rates: KeyRates): Map<string, OwnerLoad> {
	const loads = new Map<string, OwnerLoad>(owners.map(owner => [owner.id, {owner, busy: 0, keys: 0}]));
	for (const range of map.ranges) {
		const sum = loads.get(range.owner);
		if (sum !== undefined) {
			sum.keys += rangeSize(range);
		}
	}

	for (const [key, busy] of rates) {
		const sum = loads.get(map.findByKey(key).owner);
		if (sum !== undefined) {
			sum.busy += busy;
		}
	}

	return loads;
}

/** Assigns each range without a usable owner, split so that the load is even. */
function planUnowned(map: OwnershipMap, owners: readonly EligibleOwner[], rates: KeyRates): KeyMove[] {
	const loads = sumLoads(map, owners, rates);
	const unowned = map.ranges.filter(range => !loads.has(range.owner));
	if (unowned.length === 0) {
		return [];
	}

	const weigh = createWeigher(rates);
	const capacity = owners.reduce((sum, owner) => sum + owner.capacity, 0);
	const total = weigh({from: 0, to: keyCount - 1});
	const moves: KeyMove[] = [];
	const assigned = new Map<string, number>(owners.map(owner => [owner.id, 0]));
	for (const range of map.ranges) {
		if (assigned.has(range.owner)) {
			assigned.set(range.owner, assigned.get(range.owner)! + weigh(range));
		}
	}

	const remaining = (owner: EligibleOwner) => ((total * owner.capacity) / capacity) - assigned.get(owner.id)!;
	for (const range of unowned) {
		let {from} = range;
		while (from <= range.to) {
			const owner = owners.toSorted((a, b) => remaining(b) - remaining(a) || (a.id < b.id ? -1 : 1))[0];
			const to = Math.max(from, lastWithin({from, to: range.to}, Math.max(remaining(owner), total / (owners.length * 4)), weigh));
			moves.push({from, to, owner: owner.id});
			assigned.set(owner.id, assigned.get(owner.id)! + weigh({from, to}));
			from = to + 1;
		}
	}

	return moves;
}

/** Returns a function that weighs ranges: their load, plus a small amount per key so that idle keys are spread, too. */
function createWeigher(rates: KeyRates): (range: KeyRange) => number {
	const keys = rates.map(([key]) => key);
	const loads = [0];
	for (const [, busy] of rates) {
		loads.push(loads.at(-1)! + busy);
	}

	const total = loads.at(-1)!;
	const idle = Math.max(total * 0.2, 1) / keyCount;
	return ({from, to}) => loads[firstAbove(keys, to)] - loads[firstAbove(keys, from - 1)] + ((to - from + 1) * idle);
}

/** Returns the index of the first key above a limit. */
function firstAbove(keys: readonly number[], limit: number): number {
	let low = 0;
	let high = keys.length;
	while (low < high) {
		const middle = Math.floor((low + high) / 2);
		if (keys[middle] > limit) {
			high = middle;
		} else {
			low = middle + 1;
		}
	}

	return low;
}

/** Returns the last key up to which a range weighs no more than `limit`. */
function lastWithin(range: KeyRange, limit: number, weigh: (range: KeyRange) => number): number {
	let low = range.from;
	let high = range.to;
	while (low < high) {
		const middle = Math.floor((low + high + 1) / 2);
		if (weigh({from: range.from, to: middle}) <= limit) {
			low = middle;
		} else {
			high = middle - 1;
		}
	}

	return low;
}

/**
 * Moves a fair share to each target that owns nothing, from the targets with the most weight. One plan serves all
 * new owners, since the targets of a deployment that starts, or of a domain that recovers, join within seconds.
 */
function planNewOwners(map: OwnershipMap, owners: readonly EligibleOwner[], rates: KeyRates): KeyMove[] {
	const weigh = createWeigher(rates);
	const rows = owners.map(owner => ({owner, weight: 0, isNew: map.findByOwner(owner.id).length === 0}));
	const newOwners = rows.filter(row => row.isNew);
	if (newOwners.length === 0) {
		return [];
	}

	const byId = new Map(rows.map(row => [row.owner.id, row]));
	for (const range of map.ranges) {
		byId.get(range.owner)!.weight += weigh(range);
	}

	const capacity = owners.reduce((sum, owner) => sum + owner.capacity, 0);
	const total = weigh({from: 0, to: keyCount - 1});
	const moves: KeyMove[] = [];
	let current = map;
	for (const newOwner of newOwners) {
		const [donor] = rows.toSorted((a, b) => (b.weight / b.owner.capacity) - (a.weight / a.owner.capacity));
		const fair = total * newOwner.owner.capacity / capacity;
		const half = donor.weight * newOwner.owner.capacity / (newOwner.owner.capacity + donor.owner.capacity);
		const run = findDonorTail(current.findByOwner(donor.owner.id), Math.min(fair, half), weigh);
		if (run !== undefined) {
			const move = {...run, owner: newOwner.owner.id};
			const weight = weigh(run);
			donor.weight -= weight;
			newOwner.weight += weight;
			moves.push(move);
			current = current.assign([move], 0);
		}
	}

	return moves;
}

/** Returns the tail of the heaviest range, with about the wanted weight; undefined when no range has more than one key. */
function findDonorTail(ranges: readonly RangeOwnership[], wanted: number, weigh: (range: KeyRange) => number): KeyRange | undefined {
	const [heaviest] = ranges.filter(({from, to}) => to > from).toSorted((a, b) => weigh(b) - weigh(a));
	if (heaviest === undefined) {
		return undefined;
	}

	const kept = lastWithin(heaviest, weigh(heaviest) - wanted, weigh);
	const from = Math.min(kept + 1, heaviest.to);
	return {from, to: heaviest.to};
}

/** Moves load away from overloaded targets, as runs of adjacent busy keys. */
function planRebalance(map: OwnershipMap, owners: readonly EligibleOwner[], rates: KeyRates): KeyMove[] {
	const loads = sumLoads(map, owners, rates);
	const high = Math.max(highUtilization, meanUtilization(loads) * highRatio);
	return moveRuns(map, loads, rates, {isDonor: ({busy, owner}) => (busy - (minDeviations * standardDeviation(busy))) / owner.capacity > high});
}

/**
 * Moves keys away from targets whose load has risen within a fraction of a second. The usual measurement shows such a
 * rise only after a second or two, when the queue of the target is full. Receivers are judged by the higher one of both
 * measurements, as keys that they have just received are missing in the usual one.
 */
function planSurge(map: OwnershipMap, owners: readonly EligibleOwner[], rates: KeyRates, recent: RecentLoad): KeyMove[] {
	const surging = new Set<string>();
	for (const [id, {busy, owner}] of sumLoads(map, owners, recent.rates)) {
		if (isSurging(busy, owner.capacity, recent.loadPerRequest)) {
			surging.add(id);
		}
	}

	if (surging.size === 0) {
		return [];
	}

	const higher = mergeHigher(rates, recent.rates);
	const loads = sumLoads(map, owners, higher);
	return moveRuns(map, loads, higher, {
		isDonor: ({busy, owner}) => busy / owner.capacity > highUtilization,
		kept: [...loads.values()].filter(({owner}) => !surging.has(owner.id)),
	});
}

/** Returns the higher rate of each key, in order of keys. */
function mergeHigher(a: KeyRates, b: KeyRates): KeyRates {
	const merged = new Map(a);
	for (const [key, busy] of b) {
		merged.set(key, Math.max(busy, merged.get(key) ?? 0));
	}

	return [...merged].toSorted(([x], [y]) => x - y);
}

function meanUtilization(loads: ReadonlyMap<string, OwnerLoad>): number {
	let busy = 0;
	let capacity = 0;
	for (const row of loads.values()) {
		busy += row.busy;
		capacity += row.owner.capacity;
	}

	return busy / capacity;
}

type DonorChoice = {
	/** Returns whether the target with the highest utilization must lose keys. */
	readonly isDonor: (row: OwnerLoad) => boolean;
	/** Targets that lose no keys, whatever their utilization. */
	readonly kept?: readonly OwnerLoad[];
};

/** Moves runs of busy keys from the target with the highest utilization to that with the lowest one, while that helps. */
function moveRuns(map: OwnershipMap, loads: Map<string, OwnerLoad>, rates: KeyRates, {isDonor, kept = []}: DonorChoice): KeyMove[] {
	const mean = meanUtilization(loads);
	const maxMoves = Math.max(minMovesPerPlan, loads.size * movesPerOwner);
	const moves: KeyMove[] = [];
	/** Donors from which no move helps; others may still be overloaded. */
	const stuck = new Set<OwnerLoad>(kept);
	let current = map;
	while (moves.length < maxMoves && stuck.size < loads.size) {
		const donor = findHighest(loads, row => stuck.has(row) ? Number.NEGATIVE_INFINITY : row.busy / row.owner.capacity);
		const receiver = findHighest(loads, row => -row.busy / row.owner.capacity);
		if (donor === receiver || !isDonor(donor)) {
			break;
		}

		const excess = donor.busy - (mean * donor.owner.capacity);
		const limit = Math.max(receiverUtilization, mean) * receiver.owner.capacity;
		const run = findBestRun(current, donor.owner.id, rates, Math.min(excess, limit - receiver.busy));
		const isWorthwhile = run !== undefined && run.load >= Math.min(minMovedLoad, donor.owner.capacity * minMovedShare);
		// The move does not help when the receiver would be as overloaded as the donor.
		if (!isWorthwhile || (receiver.busy + run.load) / receiver.owner.capacity >= donor.busy / donor.owner.capacity) {
			stuck.add(donor);
			continue;
		}

		donor.busy -= run.load;
		receiver.busy += run.load;
		const move = {from: run.from, to: run.to, owner: receiver.owner.id};
		moves.push(move);
		current = current.assign([move], 0);
	}

	return moves;
}

/** Returns the standard deviation of a measured load, which is high since a target gets few requests in the time over which load is measured. */
function standardDeviation(busy: number): number {
	return Math.sqrt(busy * loadPerRequest);
}

function findHighest(loads: ReadonlyMap<string, OwnerLoad>, score: (row: OwnerLoad) => number): OwnerLoad {
	return [...loads.values()].toSorted((a, b) => score(b) - score(a))[0];
}

type KeyRun = KeyRange & {readonly load: number};

/** Returns the run of keys of one owner with about the wanted load and as few keys as possible. */
function findBestRun(map: OwnershipMap, owner: string, rates: KeyRates, wanted: number): KeyRun | undefined {
	const index = rates.map(([key]) => key);
	let best: KeyRun | undefined;
	for (const range of map.findByOwner(owner)) {
		const keys = rates.slice(firstAbove(index, range.from - 1), firstAbove(index, range.to));
		for (const run of listRuns(keys, wanted)) {
			if (best === undefined || scoreRun(run, wanted) > scoreRun(best, wanted)) {
				best = run;
			}
		}
	}

	return best;
}

/** Yields, for each start key, the longest run whose load does not exceed the wanted one. */
function * listRuns(keys: KeyRates, wanted: number): Generator<KeyRun> {
	let load = 0;
	let end = 0;
	for (const [start, [from, busy]] of keys.entries()) {
		if (end < start) {
			end = start;
			load = 0;
		}

		while (end < keys.length && load + keys[end][1] <= wanted) {
			load += keys[end][1];
			end += 1;
		}

		if (end > start) {
			yield {from, to: keys[end - 1][0], load};
			load -= busy;
		}
	}
}

/** Scores a run: more load and fewer keys are better, since moving a key may interrupt its requests. */
function scoreRun(run: KeyRun, wanted: number): number {
	return (run.load / wanted) - (rangeSize(run) / keyCount);
}
