/**
 * Finds keys that are set more than once: the INI library silently keeps the last value.
 */
import {parse} from 'ini';
import type {SettingsProblem} from './settings-error.js';

/** Returns the name of the section or key that a line contains; neither for other lines. */
function parseLine(line: string): {section?: string; key?: string} {
	const parsed = Object.entries<unknown>(parse(line)).at(0);
	if (!parsed) {
		return {};
	}

	const [name, value] = parsed;
	return typeof value === 'object' ? {section: name} : {key: name};
}

/** Returns a problem for each repetition of a key in a section. */
export function findDuplicates(text: string): SettingsProblem[] {
	const seen = new Set<string>();
	const problems: SettingsProblem[] = [];
	let section = '';
	for (const line of text.split('\n')) {
		const found = parseLine(line);
		section = found.section ?? section;
		const key = found.key ?? '';
		const id = `${section} ${key}`;
		if (key !== '' && seen.has(id)) {
			problems.push({
				section, key, what: 'is set twice', expected: 'one line',
			});
		}

		seen.add(id);
	}

	return problems;
}
