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

const defaultPairs = 150;
const pairsForMutations = 300;
const exitFailed = 1;
const exitUsage = 2;

function print(line: string): void {
	process.stdout.write(`${line}\n`);
}

/** Runs one cell and tells how it ended. */
function runOne(name: string, seed: number, mutation: Mutation | undefined): number {
	const cell = parseCell(name);
	if (cell === undefined) {
		process.stderr.write(`There is no cell "${name}"; expected STEP:FAULT or STEP:FAULT+FAULT.\n`);
		return exitUsage;
	}

	const result = runCell(cell, seed, new Set(mutation === undefined ? [] : [mutation]));
	print(formatResult(result));
	return result.status === CellStatus.Failed ? exitFailed : 0;
}

/** Runs every fault at every step, and pairs. */
function runAll(cells: readonly Cell[], seed: number): number {
	const totals = runCells(cells, seed, result => {
		if (result.status !== CellStatus.Passed) {
			print(formatResult(result));
		}
	});
	print(`seed ${seed}: ${cells.length} cells, ${totals.passed} passed, ${totals.failed} failed, ${totals['not-reached']} not reached`);
	return totals.failed > 0 ? exitFailed : 0;
}

/** Runs each deliberate break until a cell fails. */
function runMutations(seed: number): number {
	const cells = [...singleFaultCells, ...sampleFaultPairs(pairsForMutations, seed)];
	let missed = 0;
	for (const mutation of Object.values(Mutation)) {
		const result = runMutation(mutation, cells, seed);
		if (result.caught === undefined) {
			missed += 1;
			print(`${mutation}: not caught in ${result.cellCount} cells`);
		} else {
			print(`${mutation}: caught after ${result.cellCount} cells, ${formatResult(result.caught)}`);
		}
	}

	print(`seed ${seed}: ${Object.values(Mutation).length} mutations, ${missed} not caught`);
	return missed > 0 ? exitFailed : 0;
}

const matrix = command({
	name: 'matrix',
	description: 'Runs every fault at every step of the protocols over the pure core.',
	args: {
		seed: option({type: number, long: 'seed', defaultValue: () => 1}),
		cells: option({type: optional(number), long: 'cells', description: 'Number of cells; the single faults come first, then pairs.'}),
		cell: option({type: optional(string), long: 'cell', description: 'Runs this cell only: STEP:FAULT or STEP:FAULT+FAULT.'}),
		mutation: option({type: optional(string), long: 'mutation', description: 'Deliberate break for --cell.'}),
		mutations: flag({long: 'mutations', description: 'Shows that each deliberate break makes a cell fail.'}),
	},
	handler({
		seed, cells, cell, mutation, mutations,
	}) {
		if (cell !== undefined) {
			process.exitCode = runOne(cell, seed, Object.values(Mutation).find(value => value === mutation));
		} else if (mutations) {
			process.exitCode = runMutations(seed);
		} else {
			const pairs = sampleFaultPairs(Math.max(0, (cells ?? singleFaultCells.length + defaultPairs) - singleFaultCells.length), seed);
			process.exitCode = runAll([...singleFaultCells, ...pairs].slice(0, cells), seed);
		}
	},
});

await run(matrix, process.argv.slice(2));
