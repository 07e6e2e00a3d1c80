import {Mutation} from '@bluebellyard/core';
import test from 'ava';
import {
	CellStatus, formatCellName, parseCell, runCell, type Cell,
} from './cell.js';
import {formatResult, sampleFaultPairs, singleFaultCells} from './matrix.js';
import {runMutation} from './run-mutation.js';
import {Step} from './step.js';

const seed = 7;
/** Every n-th cell with a single fault runs here; `npm run matrix` runs them all. */
const sampleEvery = 4;

/** Runs cells and returns one line for each that did not pass. */
function listFailures(cells: readonly Cell[]): string[] {
	return cells
		.map(cell => runCell(cell, seed))
		.filter(result => result.status !== CellStatus.Passed)
		.map(result => formatResult(result));
}

for (const step of Object.values(Step)) {
	const cells = singleFaultCells.filter((cell, i) => cell.step === step && i % sampleEvery === 0);
	test(`faults at ${step}`, t => {
		t.deepEqual(listFailures(cells), []);
	});
}

test('pairs of faults', t => {
	t.deepEqual(listFailures(sampleFaultPairs(8, seed)), []);
});

test('name and seed reproduce a cell', t => {
	const [cell] = sampleFaultPairs(1, seed);
	t.deepEqual(parseCell(formatCellName(cell)), cell);
	t.is(parseCell('join:'), undefined);
	t.is(parseCell('nothing:lost'), undefined);
	const mutations = new Set([Mutation.AcceptBeforeReadBack]);
	const publish = parseCell('publish:log-slow')!;
	t.deepEqual(runCell(publish, seed, mutations), runCell(publish, seed, mutations));
});

for (const mutation of [Mutation.TrustMembershipList, Mutation.AcceptBeforeReadBack, Mutation.MoveWithoutRelease, Mutation.SkipLastCheck]) {
	test(`caught: ${mutation}`, t => {
		t.truthy(runMutation(mutation, [], seed).caught);
	});
}
