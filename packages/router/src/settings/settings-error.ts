import VError from 'verror';

/** One problem in a settings file. */
export type SettingsProblem = {
	/** Empty for a problem of the whole file. */
	readonly section: string;
	/** Empty for a problem of the whole section. */
	readonly key: string;
	/** What is wrong, such as `is missing`. */
	readonly what: string;
	/** What would be valid, such as `a duration`. */
	readonly expected: string;
};

function formatProblem(file: string, problem: SettingsProblem): string {
	const section = problem.section === '' ? [] : [`[${problem.section}]`];
	const key = problem.key === '' ? [] : [problem.key];
	const place = [`${file}:`, ...section, ...key].join(' ');
	const explanation = `${problem.what}; expected ${problem.expected}`;
	return section.length === 0 ? `${place} ${explanation}` : `${place}: ${explanation}`;
}

/** Thrown when a settings file is invalid. The message has one line per problem. */
export class SettingsError extends VError {
	readonly problems: readonly SettingsProblem[];

	constructor(file: string, problems: readonly SettingsProblem[], cause?: Error) {
		const lines = problems.map(problem => formatProblem(file, problem));
		super({name: 'SettingsError', cause, info: {file}}, '%s', lines.join('\n'));
		this.problems = problems;
	}
}
