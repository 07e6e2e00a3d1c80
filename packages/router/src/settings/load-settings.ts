/**
 * Reads a settings file and checks it.
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

/** Makes an absent section one without keys. */
const emptySections = Object.fromEntries(sectionNames.map(name => [name, {}]));

function keysOf(section: string): Map<string, z.ZodType> {
	const found = Object.entries(sections).find(([name]) => name === section);
	return new Map(Object.entries<z.ZodType>(found?.[1].shape ?? {}));
}

function expectedForm(section: string, key: string): string {
	const schema = keysOf(section).get(key);
	return (schema && getFieldNote(schema)?.expected) ?? 'a value';
}

function unknownKeys(section: string, keys: readonly string[]): SettingsProblem[] {
	if (section === '') {
		return keys.map(key => ({
			section: key, key: '', what: 'unknown section or a key outside any section', expected: sectionNames.join(', '),
		}));
	}

	const known = [...keysOf(section).keys()];
	return keys.map(key => ({
		section, key, what: 'unknown key', expected: known.join(', '),
	}));
}

function issueProblems(issue: z.core.$ZodIssue): SettingsProblem[] {
	const [section = '', key = ''] = issue.path.map(String);
	if (issue.code === 'unrecognized_keys') {
		return unknownKeys(section, issue.keys);
	}

	if (key === '') {
		return [{
			section, key, what: 'is not a section', expected: `a line [${section}] and its keys`,
		}];
	}

	const isMissing = issue.code === 'invalid_type' && issue.input === undefined;
	const badType = isMissing ? 'is missing' : 'has no plain value';
	return [{
		section, key, what: issue.code === 'custom' ? issue.message : badType, expected: expectedForm(section, key),
	}];
}

function toSettings(parsed: ParsedSettings): Settings {
	const {limits, metrics} = parsed;
	return {
		...parsed,
		limits: {
			body: limits.body,
			headers: limits.headers,
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

/** Checks the text of a settings file. `file` is named in problems. Throws `SettingsError`. */
export function parseSettings(text: string, file: string): Settings {
	const duplicates = findDuplicates(text);
	const result = settingsSchema.safeParse({...emptySections, ...parseIni(text, file)}, {reportInput: true});
	if (!result.success) {
		throw new SettingsError(file, [...duplicates, ...result.error.issues.flatMap(issue => issueProblems(issue))]);
	}

	const problems = [...duplicates, ...findCrossKeyProblems(result.data)];
	if (problems.length > 0) {
		throw new SettingsError(file, problems);
	}

	return toSettings(result.data);
}

/** Reads and checks a settings file. Throws `SettingsError`. */
export function loadSettings(file: string): Settings {
	let text: string;
	try {
		text = readFileSync(file, 'utf8');
	} catch (err) {
		const problem = {
			section: '', key: '', what: 'can not be read', expected: 'a settings file',
		};
		throw new SettingsError(file, [problem], err instanceof Error ? err : undefined);
	}

	return parseSettings(text, file);
}
