import {
	CellStatus, runCell, type Cell, type CellResult,
} from './cell.js';
import {Fault} from './fault.js';
import {Rng} from './rng.js';
import {Step} from './step.js';

const steps = Object.values(Step);
const faults = Object.values(Fault);

/** Every fault at every step. */
export const singleFaultCells: readonly Cell[] = steps.flatMap(step => faults.map(fault => ({step, faults: [fault]})));

/** Pairs of faults at a step, sampled by seed. */
export function sampleFaultPairs(count: number, seed: number): Cell[] {
	const rng = new Rng(seed);
	return Array.from({length: count}, () => ({step: rng.pick(steps), faults: [rng.pick(faults), rng.pick(faults)]}));
}

/** Numbers of cells by how they ended. */
export type StatusCounts = Record<CellStatus, number>;

/** Runs cells one after the other, the n-th with seed `seed + n`; `seen` gets each result. */
export function runCells(cells: readonly Cell[], seed: number, seen: (result: CellResult) => void): StatusCounts {
	const totals: StatusCounts = {[CellStatus.Passed]: 0, [CellStatus.Failed]: 0, [CellStatus.NotReached]: 0};
	for (const [index, cell] of cells.entries()) {
		const result = runCell(cell, seed + index);
		totals[result.status] += 1;
		seen(result);
	}

	return totals;
}

/** One line about a cell that did not pass. */
export function formatResult(result: CellResult): string {
	const {violation} = result;
	const where = `--cell ${result.name} --seed ${result.seed}`;
	return violation === undefined
		? `${result.status}  ${where}`
		: `${result.status}  ${where}  ${violation.invariant} at ${Math.round(violation.at)} ms: ${violation.detail}`;
}

