/**
 * Problems of a rules file, as reported to operators.
 */

/** Problem in a rules file. */
export type RuleProblem = {
	/** Line number, from 1; 0 when the problem does not belong to a single line. */
	readonly line: number;
	readonly what: string;
	readonly expected: string;
};

/** Error of the line being parsed; the parser reports it as a `RuleProblem`. */
export class LineError extends Error {
	override readonly name = 'LineError';

	constructor(readonly what: string, readonly expected: string) {
		super(`${what}; expected ${expected}`);
	}
}

/** Formats a problem as one line of text. */
export function formatProblem(problem: RuleProblem): string {
	const place = problem.line === 0 ? 'rules' : `line ${problem.line}`;
	return `${place}: ${problem.what}; expected ${problem.expected}`;
}
