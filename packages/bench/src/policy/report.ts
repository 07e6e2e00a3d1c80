import type {Figures} from './statistics.js';

/** One policy of an experiment. */
export type PolicyRow = {
	readonly policy: string;
	readonly figures: Figures;
};

/** A figure against its bound. */
export type Goal = {
	readonly name: string;
	readonly value: number;
	readonly bound: number;
	readonly met: boolean;
};

/** One experiment with its policies side by side. */
export type ExperimentReport = {
	readonly name: string;
	readonly rows: readonly PolicyRow[];
	readonly aims: readonly Goal[];
};

/** All experiments of one seed. */
export type PolicyReport = {
	readonly seed: number;
	readonly experiments: readonly ExperimentReport[];
};

/** A figure that must not exceed its bound. */
export function atMost(name: string, value: number, bound: number): Goal {
	return {
		name, value, bound, met: value <= bound,
	};
}

/** A figure that must reach its bound. */
export function atLeast(name: string, value: number, bound: number): Goal {
	return {
		name, value, bound, met: value >= bound,
	};
}
