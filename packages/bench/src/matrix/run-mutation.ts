import {Mutation} from '@bluebellyard/core';
import {
	CellStatus, parseCell, runCell, type Cell, type CellResult,
} from './cell.js';

/** Number of seeds to run each likely cell with before the other cells. */
const likelySeeds = 800;

/** Cells that are likely to fail under a mutation. */
const likelyCells: Readonly<Record<Mutation, readonly string[]>> = {
	[Mutation.SkipDriftMargin]: ['renew:clock-drift+partition-one-way', 'renew:clock-drift+answer-lost'],
	[Mutation.TrustMembershipList]: ['join:lost'],
	[Mutation.MoveWithoutRelease]: ['move:slow', 'release:log-slow', 'tenure:paused'],
	[Mutation.AcceptBeforeReadBack]: ['publish:log-slow', 'move:log-slow'],
	[Mutation.EvictWithoutConfirmations]: ['request:answer-lost+partition'],
	[Mutation.SkipLeaseWait]: ['drain:paused', 'drain:partition', 'evict:paused'],
	[Mutation.SkipLastCheck]: ['request:paused', 'tenure:paused'],
	[Mutation.OrderWhileGiving]: ['drain:log-slow', 'drain:slow', 'drain:partition'],
	[Mutation.VouchForEvicted]: ['renew:answer-lost+partition'],
	[Mutation.SkipRightWait]: ['renew:answer-lost+partition'],
	[Mutation.IgnoreLostAnswers]: ['renew:answer-lost', 'renew:slow', 'renew:paused'],
};

/** Outcome of the search for a cell that catches a mutation. */
export type MutationResult = {
	readonly mutation: Mutation;
	/** The cell that fails with the mutation and passes without it; undefined if there is none. */
	readonly caught?: CellResult;
	/** Number of cells that were run with the mutation. */
	readonly cellCount: number;
};

/** Runs cells with one mutation until a cell fails that passes without it. */
export function runMutation(mutation: Mutation, cells: readonly Cell[], seed: number): MutationResult {
	const likely = likelyCells[mutation]
		.map(name => parseCell(name))
		.filter(cell => cell !== undefined)
		.flatMap(cell => Array.from({length: likelySeeds}, () => cell));
	let count = 0;
	for (const cell of [...likely, ...cells]) {
		const result = runCell(cell, seed + count, new Set([mutation]));
		count += 1;
		const isFailed = result.status === CellStatus.Failed;
		if (isFailed && runCell(cell, result.seed).status !== CellStatus.Failed) {
			return {mutation, caught: result, cellCount: count};
		}
	}

	return {mutation, cellCount: count};
}
