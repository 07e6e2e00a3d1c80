import {Mutation} from '@bluebellyard/core';
import test from 'ava';
import {
	CellStatus, formatCellName, parseCell, runCell, type Cell,
} from './cell.js';
import {formatResult, sampleFaultPairs, singleFaultCells} from './matrix.js';
import {runMutation} from './run-mutation.js';
import {Step} from './step.js';

const seed = 7;
/** One of so many single faults runs here; `npm run matrix` runs them all. */
const sampleEvery = 4;

/** One line for each cell that did not pass. */
function notPassed(cells: readonly Cell[]): string[] {
	return cells
		.map(cell => runCell(cell, seed))
		.filter(result => result.status !== CellStatus.Passed)
		.map(result => formatResult(result));
}

for (const step of Object.values(Step)) {
	const cells = singleFaultCells.filter((cell, i) => cell.step === step && i % sampleEvery === 0);
	test(`faults at ${step}`, t => {
		t.deepEqual(notPassed(cells), []);
	});
}

test('pairs of faults', t => {
	t.deepEqual(notPassed(sampleFaultPairs(8, seed)), []);
});

test('a cell is reproduced by its name and seed', t => {
	const [cell] = sampleFaultPairs(1, seed);
	t.deepEqual(parseCell(formatCellName(cell)), cell);
	t.is(parseCell('join:'), undefined);
	t.is(parseCell('nothing:lost'), undefined);
	const broken = new Set([Mutation.AcceptBeforeReadBack]);
	const publish = parseCell('publish:log-slow')!;
	t.deepEqual(runCell(publish, seed, broken), runCell(publish, seed, broken));
});

for (const mutation of [Mutation.TrustMembershipList, Mutation.AcceptBeforeReadBack, Mutation.MoveWithoutRelease, Mutation.SkipLastCheck]) {
	test(`caught: ${mutation}`, t => {
		t.truthy(runMutation(mutation, [], seed).caught);
	});
}
