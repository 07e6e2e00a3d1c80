/**
 * Checks that concern more than one key.
 */
import {formatDuration} from '@bluebellyard/core';
import {TlsMode, type ParsedSettings} from './schema.js';
import type {SettingsProblem} from './settings-error.js';
import {formatAddress} from './units.js';

function tooShort(key: 'lease' | 'suspect' | 'right' | 'isolation', ms: number, expected: string): SettingsProblem {
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
		problems.push(tooShort('suspect', suspect, `more than heartbeat (${formatDuration(heartbeat)})`));
	}

	if (right < 2 * heartbeat) {
		problems.push(tooShort('right', right, `twice heartbeat (${formatDuration(heartbeat)}) at least`));
	}

	if (lease < 2 * heartbeat) {
		problems.push(tooShort('lease', lease, `twice heartbeat (${formatDuration(heartbeat)}) at least`));
	}

	if (isolation < right) {
		problems.push(tooShort('isolation', isolation, `right (${formatDuration(right)}) at least`));
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
				section: 'listen', key, what: `is ${text} like another key`, expected: 'an address of its own',
			});
		}

		seen.add(text);
	}

	return problems;
}

/** Problems between keys that are each well-formed. */
export function findCrossKeyProblems(parsed: ParsedSettings): SettingsProblem[] {
	return [...checkListen(parsed), ...checkTls(parsed), ...checkTiming(parsed)];
}
