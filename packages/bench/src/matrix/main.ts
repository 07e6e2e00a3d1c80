import process from 'node:process';
import {Mutation} from '@bluebellyard/core';
import {
	command, flag, number, option, optional, run, string,
} from 'cmd-ts';
import {
	CellStatus, parseCell, runCell, type Cell,
} from './cell.js';
import {
	formatResult, runCells, sampleFaultPairs, singleFaultCells,
} from './matrix.js';
import {runMutation} from './run-mutation.js';

const defaultPairCount = 150;
const mutationPairCount = 300;
const failureExitCode = 1;
const usageExitCode = 2;

function print(line: string): void {
	process.stdout.write(`${line}\n`);
}

/** Runs one cell and prints its result. Returns the exit code. */
function runSingleCell(name: string, seed: number, mutation: Mutation | undefined): number {
	const cell = parseCell(name);
	if (cell === undefined) {
		process.stderr.write(`There is no cell "${name}"; expected STEP:FAULT or STEP:FAULT+FAULT.\n`);
		return usageExitCode;
	}

	const result = runCell(cell, seed, new Set(mutation === undefined ? [] : [mutation]));
	print(formatResult(result));
	return result.status === CellStatus.Failed ? failureExitCode : 0;
}

/** Runs all given cells and prints those that did not pass. Returns the exit code. */
function runAllCells(cells: readonly Cell[], seed: number): number {
	const totals = runCells(cells, seed, result => {
		if (result.status !== CellStatus.Passed) {
			print(formatResult(result));
		}
	});
	print(`seed ${seed}: ${cells.length} cells, ${totals.passed} passed, ${totals.failed} failed, ${totals['not-reached']} not reached`);
	return totals.failed > 0 ? failureExitCode : 0;
}

/** Runs cells with each mutation until one fails. Returns the exit code: a failure if a mutation is not caught. */
function runMutations(seed: number): number {
	const cells = [...singleFaultCells, ...sampleFaultPairs(mutationPairCount, seed)];
	let missedCount = 0;
	for (const mutation of Object.values(Mutation)) {
		const result = runMutation(mutation, cells, seed);
		if (result.caught === undefined) {
			missedCount += 1;
			print(`${mutation}: not caught in ${result.cellCount} cells`);
		} else {
			print(`${mutation}: caught after ${result.cellCount} cells, ${formatResult(result.caught)}`);
		}
	}

	print(`seed ${seed}: ${Object.values(Mutation).length} mutations, ${missedCount} not caught`);
	return missedCount > 0 ? failureExitCode : 0;
}

const matrix = command({
	name: 'matrix',
	description: 'Runs every fault at every step of the protocols in a simulation of the pure core.',
	args: {
		seed: option({type: number, long: 'seed', defaultValue: () => 1}),
		cells: option({type: optional(number), long: 'cells', description: 'Number of cells; cells with a single fault come first, then pairs of faults.'}),
		cell: option({type: optional(string), long: 'cell', description: 'Runs only this cell: STEP:FAULT or STEP:FAULT+FAULT.'}),
		mutation: option({type: optional(string), long: 'mutation', description: 'Mutation (deliberate defect) to enable for --cell.'}),
		mutations: flag({long: 'mutations', description: 'Checks that each mutation (deliberate defect) makes a cell fail.'}),
	},
	handler({
		seed, cells, cell, mutation, mutations,
	}) {
		if (cell !== undefined) {
			process.exitCode = runSingleCell(cell, seed, Object.values(Mutation).find(value => value === mutation));
		} else if (mutations) {
			process.exitCode = runMutations(seed);
		} else {
			const pairs = sampleFaultPairs(Math.max(0, (cells ?? singleFaultCells.length + defaultPairCount) - singleFaultCells.length), seed);
			process.exitCode = runAllCells([...singleFaultCells, ...pairs].slice(0, cells), seed);
		}
	},
});

await run(matrix, process.argv.slice(2));
