/**
 * Checks that involve more than one key of the settings.
 */
import {formatDuration} from '@bluebellyard/core';
import {TlsMode, type ParsedSettings} from './schema.js';
import type {SettingsProblem} from './settings-error.js';
import {formatAddress} from './units.js';

function createTimingProblem(key: 'lease' | 'suspect' | 'right' | 'isolation', ms: number, expected: string): SettingsProblem {
	return {
		section: 'timing', key, what: `is ${formatDuration(ms)}`, expected,
	};
}

function checkTiming({timing}: ParsedSettings): SettingsProblem[] {
	const {
		lease, heartbeat, suspect, right, isolation,
	} = timing;
	const problems: SettingsProblem[] = [];
	if (suspect <= heartbeat) {
		problems.push(createTimingProblem('suspect', suspect, `more than heartbeat (${formatDuration(heartbeat)})`));
	}

	if (right < 2 * heartbeat) {
		problems.push(createTimingProblem('right', right, `at least twice heartbeat (${formatDuration(heartbeat)})`));
	}

	if (lease < 2 * heartbeat) {
		problems.push(createTimingProblem('lease', lease, `at least twice heartbeat (${formatDuration(heartbeat)})`));
	}

	if (isolation < right) {
		problems.push(createTimingProblem('isolation', isolation, `at least right (${formatDuration(right)})`));
	}

	return problems;
}

function checkTls({tls}: ParsedSettings): SettingsProblem[] {
	if (tls.mode === TlsMode.Off) {
		return [];
	}

	return (['ca', 'cert', 'key'] as const)
		.filter(key => tls[key] === undefined)
		.map(key => ({
			section: 'tls', key, what: 'is missing', expected: 'the path of a PEM file, or mode = off',
		}));
}

function checkListen({listen}: ParsedSettings): SettingsProblem[] {
	const seen = new Set<string>();
	const problems: SettingsProblem[] = [];
	for (const [key, address] of Object.entries(listen)) {
		const text = formatAddress(address);
		if (address.port !== 0 && seen.has(text)) {
			problems.push({
				section: 'listen', key, what: `is ${text}, which another key uses already`, expected: 'a different address for each key',
			});
		}

		seen.add(text);
	}

	return problems;
}

/** Returns the problems between keys that are each valid on their own. */
export function findCrossKeyProblems(parsed: ParsedSettings): SettingsProblem[] {
	return [...checkListen(parsed), ...checkTls(parsed), ...checkTiming(parsed)];
}
