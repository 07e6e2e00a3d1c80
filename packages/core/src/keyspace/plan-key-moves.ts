/**
 * Decides which keys move. Answers two loads: targets that come, go and differ
 * in speed; and runs of neighbouring busy keys that appear within seconds and
 * are too much for one target.
 */
import type {RangeOwnership, OwnershipMap, KeyMove} from './ownership-map.js';
import {keyCount, rangeSize, type KeyRange} from './key-range.js';

/** A target that may own keys. */
export type EligibleOwner = {
	readonly id: string;
	/** Work that it bears, in slots of usual speed. */
	readonly capacity: number;
};

/** Work by key in slots kept busy, in order of keys. */
export type KeyRates = ReadonlyArray<readonly [key: number, busy: number]>;

/** Utilization above which a target gives keys away; below it the queue stays short. */
const highUtilization = 0.7;

/** Ratio of a target's utilization to the mean above which it gives keys away. */
const highRatio = 1.3;

/** Utilization that a receiver may reach by what it receives. */
const receiverUtilization = 0.65;

/** Load below which it does not pay to move anything, in slots kept busy. */
const minMovedLoad = 0.15;

/** Fewest moves that one plan for balance may have; the next plan goes on. */
const minBalanceMoves = 10;

/** Moves of one plan for balance, in relation to the number of targets. */
const balanceMovesPerOwner = 0.25;

/** Load that one request stands for, in slots: about 170 ms of work in the 1.7 s over which load is measured. */
const requestShare = 0.1;

/** Standard deviations of the measurement that a load must lie above the limit, so that noise moves few keys. */
const certainty = 0.7;

/** Plans the moves that are due now. */
export function planKeyMoves(map: OwnershipMap, owners: readonly EligibleOwner[], rates: KeyRates): KeyMove[] {
	if (owners.length === 0) {
		return [];
	}

	const homeless = planHomeless(map, owners, rates);
	if (homeless.length > 0) {
		return homeless;
	}

	const newcomers = planNewcomers(map, owners, rates);
	return newcomers.length > 0 ? newcomers : planBalance(map, owners, rates);
}

type Sum = {
	readonly owner: EligibleOwner;
	busy: number;
	keys: number;
};

function sumUp(map: OwnershipMap, owners: readonly EligibleOwner[], rates: KeyRates): Map<string, Sum> {
	const sums = new Map<string, Sum>(owners.map(owner => [owner.id, {owner, busy: 0, keys: 0}]));
	for (const holding of map.ranges) {
		const sum = sums.get(holding.owner);
		if (sum !== undefined) {
			sum.keys += rangeSize(holding);
		}
	}

	for (const [key, busy] of rates) {
		const sum = sums.get(map.findByKey(key).owner);
		if (sum !== undefined) {
			sum.busy += busy;
		}
	}

	return sums;
}

/** Gives each range without a usable owner away, in pieces that even out the load. */
function planHomeless(map: OwnershipMap, owners: readonly EligibleOwner[], rates: KeyRates): KeyMove[] {
	const sums = sumUp(map, owners, rates);
	const homeless = map.ranges.filter(holding => !sums.has(holding.owner));
	if (homeless.length === 0) {
		return [];
	}

	const weigh = weigher(rates);
	const capacity = owners.reduce((sum, owner) => sum + owner.capacity, 0);
	const total = weigh({from: 0, to: keyCount - 1});
	const moves: KeyMove[] = [];
	const filled = new Map<string, number>(owners.map(owner => [owner.id, 0]));
	for (const holding of map.ranges) {
		if (filled.has(holding.owner)) {
			filled.set(holding.owner, filled.get(holding.owner)! + weigh(holding));
		}
	}

	const room = (owner: EligibleOwner) => ((total * owner.capacity) / capacity) - filled.get(owner.id)!;
	for (const holding of homeless) {
		let {from} = holding;
		while (from <= holding.to) {
			const owner = owners.toSorted((a, b) => room(b) - room(a) || (a.id < b.id ? -1 : 1))[0];
			const to = Math.max(from, lastWithin({from, to: holding.to}, Math.max(room(owner), total / (owners.length * 4)), weigh));
			moves.push({from, to, owner: owner.id});
			filled.set(owner.id, filled.get(owner.id)! + weigh({from, to}));
			from = to + 1;
		}
	}

	return moves;
}

/** Weight of ranges: their load, and a little for each key, so that quiet keys are spread too. */
function weigher(rates: KeyRates): (range: KeyRange) => number {
	const keys = rates.map(([key]) => key);
	const sums = [0];
	for (const [, busy] of rates) {
		sums.push(sums.at(-1)! + busy);
	}

	const total = sums.at(-1)!;
	const idle = Math.max(total * 0.2, 1) / keyCount;
	return ({from, to}) => sums[firstAbove(keys, to)] - sums[firstAbove(keys, from - 1)] + ((to - from + 1) * idle);
}

/** Index of the first key above a limit. */
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

/** Last key up to which a range weighs no more than `limit`. */
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
 * Gives each target that owns nothing its fair part, from those that own the most. All newcomers are served by
 * one plan, since the targets of a start, or of a domain that returns, come within seconds.
 */
function planNewcomers(map: OwnershipMap, owners: readonly EligibleOwner[], rates: KeyRates): KeyMove[] {
	const weigh = weigher(rates);
	const rows = owners.map(owner => ({owner, weight: 0, isNew: map.findByOwner(owner.id).length === 0}));
	const newcomers = rows.filter(row => row.isNew);
	if (newcomers.length === 0) {
		return [];
	}

	const byId = new Map(rows.map(row => [row.owner.id, row]));
	for (const holding of map.ranges) {
		byId.get(holding.owner)!.weight += weigh(holding);
	}

	const capacity = owners.reduce((sum, owner) => sum + owner.capacity, 0);
	const total = weigh({from: 0, to: keyCount - 1});
	const moves: KeyMove[] = [];
	let current = map;
	for (const newcomer of newcomers) {
		const [donor] = rows.toSorted((a, b) => (b.weight / b.owner.capacity) - (a.weight / a.owner.capacity));
		const fair = total * newcomer.owner.capacity / capacity;
		const half = donor.weight * newcomer.owner.capacity / (newcomer.owner.capacity + donor.owner.capacity);
		const piece = lastPiece(current.findByOwner(donor.owner.id), Math.min(fair, half), weigh);
		if (piece !== undefined) {
			const move = {...piece, owner: newcomer.owner.id};
			const weight = weigh(piece);
			donor.weight -= weight;
			newcomer.weight += weight;
			moves.push(move);
			current = current.assign([move], 0);
		}
	}

	return moves;
}

/** The end of the heaviest holding, with about the wanted weight; undefined when it has one key only. */
function lastPiece(holdings: readonly RangeOwnership[], wanted: number, weigh: (range: KeyRange) => number): KeyRange | undefined {
	const [heaviest] = holdings.filter(({from, to}) => to > from).toSorted((a, b) => weigh(b) - weigh(a));
	if (heaviest === undefined) {
		return undefined;
	}

	const kept = lastWithin(heaviest, weigh(heaviest) - wanted, weigh);
	const from = Math.min(kept + 1, heaviest.to);
	return {from, to: heaviest.to};
}

/** Takes load off targets that have too much, as runs of neighbouring busy keys. */
function planBalance(map: OwnershipMap, owners: readonly EligibleOwner[], rates: KeyRates): KeyMove[] {
	const sums = sumUp(map, owners, rates);
	const capacity = owners.reduce((sum, owner) => sum + owner.capacity, 0);
	const busy = [...sums.values()].reduce((sum, row) => sum + row.busy, 0);
	const mean = busy / capacity;
	const high = Math.max(highUtilization, mean * highRatio);
	const most = Math.max(minBalanceMoves, owners.length * balanceMovesPerOwner);
	const moves: KeyMove[] = [];
	let current = map;
	while (moves.length < most) {
		const donor = extreme(sums, row => row.busy / row.owner.capacity);
		const taker = extreme(sums, row => -row.busy / row.owner.capacity);
		if (donor === taker || (donor.busy - (certainty * noiseOf(donor.busy))) / donor.owner.capacity <= high) {
			break;
		}

		const excess = donor.busy - (mean * donor.owner.capacity);
		const limit = Math.max(receiverUtilization, mean) * taker.owner.capacity;
		const piece = bestPiece(current, donor.owner.id, rates, Math.min(excess, limit - taker.busy));
		if (piece === undefined || piece.load < minMovedLoad) {
			break;
		}

		// Moving a load that the receiver bears no better only moves the trouble.
		if ((taker.busy + piece.load) / taker.owner.capacity >= donor.busy / donor.owner.capacity) {
			break;
		}

		donor.busy -= piece.load;
		taker.busy += piece.load;
		const move = {from: piece.from, to: piece.to, owner: taker.owner.id};
		moves.push(move);
		current = current.assign([move], 0);
	}

	return moves;
}

/** Standard deviation of a measured load: the requests of a target are few in the time over which load is measured. */
function noiseOf(busy: number): number {
	return Math.sqrt(busy * requestShare);
}

function extreme(sums: ReadonlyMap<string, Sum>, score: (row: Sum) => number): Sum {
	return [...sums.values()].toSorted((a, b) => score(b) - score(a))[0];
}

type Piece = KeyRange & {readonly load: number};

/** The run of keys of one owner with about the wanted load and as few keys as can be. */
function bestPiece(map: OwnershipMap, owner: string, rates: KeyRates, wanted: number): Piece | undefined {
	const index = rates.map(([key]) => key);
	let best: Piece | undefined;
	for (const holding of map.findByOwner(owner)) {
		const keys = rates.slice(firstAbove(index, holding.from - 1), firstAbove(index, holding.to));
		for (const piece of pieces(keys, wanted)) {
			if (best === undefined || worth(piece, wanted) > worth(best, wanted)) {
				best = piece;
			}
		}
	}

	return best;
}

/** For each start the longest run within the wanted load. */
function * pieces(keys: KeyRates, wanted: number): Generator<Piece> {
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

/** More load moved is better, and so are fewer keys: keys that change hands risk interrupted work. */
function worth(piece: Piece, wanted: number): number {
	return (piece.load / wanted) - (rangeSize(piece) / keyCount);
}
