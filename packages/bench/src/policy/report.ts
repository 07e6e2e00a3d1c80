import type {Figures} from './statistics.js';

/** Figures of one policy in an experiment. */
export type PolicyRow = {
	readonly policy: string;
	readonly figures: Figures;
};

/** A bound on a figure, and whether the figure meets it. */
export type Goal = {
	readonly name: string;
	readonly value: number;
	readonly bound: number;
	readonly met: boolean;
};

/** Result of one experiment, with a row for each policy. */
export type ExperimentReport = {
	readonly name: string;
	readonly rows: readonly PolicyRow[];
	readonly aims: readonly Goal[];
};

/** Results of all experiments with one seed. */
export type PolicyReport = {
	readonly seed: number;
	readonly experiments: readonly ExperimentReport[];
};

/** Returns the goal that a figure does not exceed its bound. */
export function atMost(name: string, value: number, bound: number): Goal {
	return {
		name, value, bound, met: value <= bound,
	};
}

/** Returns the goal that a figure reaches its bound. */
export function atLeast(name: string, value: number, bound: number): Goal {
	return {
		name, value, bound, met: value >= bound,
	};
}
