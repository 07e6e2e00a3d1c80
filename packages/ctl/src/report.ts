/**
 * What a command tells the operator.
 */

/** Exit codes of the command. */
export enum ExitCode {
	Ok = 0,
	/** The change was refused, or another edit won. */
	Refused = 1,
	/** The input or the usage is wrong. */
	BadInput = 2,
	/** The platform or an instance can't be reached, or the result is not known. */
	Unreachable = 3,
}

/** Result of one command. */
export type Report = {
	readonly exit: ExitCode;
	/** Lines for a reader. */
	readonly lines: readonly string[];
	/** The same for a program. */
	readonly json: Readonly<Record<string, unknown>>;
};

/** Text of a report for standard output. */
export function formatReport(report: Report, asJson: boolean): string {
	if (asJson) {
		return JSON.stringify({exit: report.exit, ...report.json}) + '\n';
	}

	return report.lines.map(line => line + '\n').join('');
}

/** The report with lines of warning after it. */
export function withWarnings(report: Report, warnings: readonly string[]): Report {
	return {...report, lines: [...report.lines, ...warnings], json: {...report.json, warnings}};
}

/** Report of a command that could not do its work. */
export function createFailureReport(exit: ExitCode, lines: readonly string[], json: Readonly<Record<string, unknown>> = {}): Report {
	return {exit, lines, json: {error: lines[0] ?? '', ...json}};
}
