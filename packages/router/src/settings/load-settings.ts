/**
 * Loads and validates settings files.
 */
import {readFileSync} from 'node:fs';
import {parse} from 'ini';
import type {z} from 'zod';
import {findCrossKeyProblems} from './cross-checks.js';
import {findDuplicates} from './duplicates.js';
import {getFieldNote} from './field.js';
import {type ParsedSettings, sections, settingsSchema} from './schema.js';
import {SettingsError, type SettingsProblem} from './settings-error.js';
import type {Settings} from './settings.js';

const sectionNames = Object.keys(sections);

/** Stands in for absent sections, so that their defaults apply and missing keys are reported one by one. */
const emptySections = Object.fromEntries(sectionNames.map(name => [name, {}]));

function getKeySchemas(section: string): Map<string, z.ZodType> {
	const found = Object.entries(sections).find(([name]) => name === section);
	return new Map(Object.entries<z.ZodType>(found?.[1].shape ?? {}));
}

function getExpectedForm(section: string, key: string): string {
	const schema = getKeySchemas(section).get(key);
	return (schema && getFieldNote(schema)?.expected) ?? 'a value';
}

function createUnknownKeyProblems(section: string, keys: readonly string[]): SettingsProblem[] {
	if (section === '') {
		return keys.map(key => ({
			section: key, key: '', what: 'unknown section or a key outside any section', expected: sectionNames.join(', '),
		}));
	}

	const known = [...getKeySchemas(section).keys()];
	return keys.map(key => ({
		section, key, what: 'unknown key', expected: known.join(', '),
	}));
}

function toProblems(issue: z.core.$ZodIssue): SettingsProblem[] {
	const [section = '', key = ''] = issue.path.map(String);
	if (issue.code === 'unrecognized_keys') {
		return createUnknownKeyProblems(section, issue.keys);
	}

	if (key === '') {
		return [{
			section, key, what: 'is not a section', expected: `a line [${section}] and its keys`,
		}];
	}

	const isMissing = issue.code === 'invalid_type' && issue.input === undefined;
	const typeProblem = isMissing ? 'is missing' : 'is not a single value';
	return [{
		section, key, what: issue.code === 'custom' ? issue.message : typeProblem, expected: getExpectedForm(section, key),
	}];
}

function toSettings(parsed: ParsedSettings): Settings {
	const {limits, metrics} = parsed;
	return {
		...parsed,
		limits: {
			body: limits.body,
			headers: limits.headers,
			held: limits.held,
			callers: limits.callers,
			queue: limits.queue,
			headersTimeout: limits['headers-timeout'],
			bodyTimeout: limits['body-timeout'],
			idleTimeout: limits['idle-timeout'],
			connections: limits.connections,
		},
		metrics: {
			prefix: metrics.prefix,
			...(metrics.statsd !== 'off' && {statsd: metrics.statsd}),
		},
	};
}

function parseIni(text: string, file: string): Record<string, unknown> {
	try {
		return parse(text);
	} catch (err) {
		const problem = {
			section: '', key: '', what: 'is not an INI file', expected: 'sections with lines key = value',
		};
		throw new SettingsError(file, [problem], err instanceof Error ? err : undefined);
	}
}

/** Parses and validates the text of a settings file. Problems name `file`. Throws `SettingsError`. */
export function parseSettings(text: string, file: string): Settings {
	const duplicates = findDuplicates(text);
	const result = settingsSchema.safeParse({...emptySections, ...parseIni(text, file)}, {reportInput: true});
	if (!result.success) {
		throw new SettingsError(file, [...duplicates, ...result.error.issues.flatMap(issue => toProblems(issue))]);
	}

	const problems = [...duplicates, ...findCrossKeyProblems(result.data)];
	if (problems.length > 0) {
		throw new SettingsError(file, problems);
	}

	return toSettings(result.data);
}

/** Reads, parses and validates a settings file. Throws `SettingsError`. */
export function loadSettings(file: string): Settings {
	let text: string;
	try {
		text = readFileSync(file, 'utf8');
	} catch (err) {
		const problem = {
			section: '', key: '', what: 'cannot be read', expected: 'a settings file',
		};
		throw new SettingsError(file, [problem], err instanceof Error ? err : undefined);
	}

	return parseSettings(text, file);
}
