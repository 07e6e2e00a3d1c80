/**
 * Reports that commands print for the operator.
 */

/** Exit codes of the command. */
export enum ExitCode {
	Ok = 0,
	/** The change was refused, or conflicts with another edit. */
	Refused = 1,
	/** The input or the usage is wrong. */
	BadInput = 2,
	/** The platform or an instance can't be reached, or the result is unknown. */
	Unreachable = 3,
}

/** Result of one command. */
export type Report = {
	readonly exit: ExitCode;
	/** Lines of the human-readable output. */
	readonly lines: readonly string[];
	/** Fields of the JSON output. */
	readonly json: Readonly<Record<string, unknown>>;
};

/** Formats a report as JSON or as lines. */
export function formatReport(report: Report, asJson: boolean): string {
	if (asJson) {
		return JSON.stringify({exit: report.exit, ...report.json}) + '\n';
	}

	return report.lines.map(line => line + '\n').join('');
}

/** Returns the report with warnings appended to its lines and JSON. */
export function withWarnings(report: Report, warnings: readonly string[]): Report {
	return {...report, lines: [...report.lines, ...warnings], json: {...report.json, warnings}};
}

/** Returns the report of a failed command. */
export function createFailureReport(exit: ExitCode, lines: readonly string[], json: Readonly<Record<string, unknown>> = {}): Report {
	return {exit, lines, json: {error: lines[0] ?? '', ...json}};
}
