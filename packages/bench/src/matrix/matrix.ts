import {
	CellStatus, runCell, type Cell, type CellResult,
} from './cell.js';
import {Fault} from './fault.js';
import {Rng} from './rng.js';
import {Step} from './step.js';

const steps = Object.values(Step);
const faults = Object.values(Fault);

/** Cells with one fault: every fault at every step. */
export const singleFaultCells: readonly Cell[] = steps.flatMap(step => faults.map(fault => ({step, faults: [fault]})));

/** Returns random cells with two faults; the seed determines them. */
export function sampleFaultPairs(count: number, seed: number): Cell[] {
	const rng = new Rng(seed);
	return Array.from({length: count}, () => ({step: rng.pick(steps), faults: [rng.pick(faults), rng.pick(faults)]}));
}

/** Number of cells by status. */
export type StatusCounts = Record<CellStatus, number>;

/** Runs cells one after another, the cell at index n with seed `seed + n`; `onResult` receives each result. */
export function runCells(cells: readonly Cell[], seed: number, onResult: (result: CellResult) => void): StatusCounts {
	const counts: StatusCounts = {[CellStatus.Passed]: 0, [CellStatus.Failed]: 0, [CellStatus.NotReached]: 0};
	for (const [index, cell] of cells.entries()) {
		const result = runCell(cell, seed + index);
		counts[result.status] += 1;
		onResult(result);
	}

	return counts;
}

/** Formats a result as one line with the flags that reproduce the cell. */
export function formatResult(result: CellResult): string {
	const {violation} = result;
	const flags = `--cell ${result.name} --seed ${result.seed}`;
	return violation === undefined
		? `${result.status}  ${flags}`
		: `${result.status}  ${flags}  ${violation.invariant} at ${Math.round(violation.at)} ms: ${violation.detail}`;
}

