import {Mutation} from '@bluebellyard/core';
import {
	CellStatus, parseCell, runCell, type Cell, type CellResult,
} from './cell.js';

/** Seeds for which each likely cell is tried before all others. */
const likelySeeds = 800;

/** Cells at which a deliberate break is likely to show. */
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

/** Whether and where a deliberate break was caught. */
export type MutationResult = {
	readonly mutation: Mutation;
	/** The failing cell, which passes without the break; undefined when there is none. */
	readonly caught?: CellResult;
	/** Cells run. */
	readonly cellCount: number;
};

/** Runs cells with one deliberate break until one fails that passes without it. */
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
