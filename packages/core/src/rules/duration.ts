/**
 * Durations as operators write them: a number with a unit.
 */

import {parseWholeNumber} from './whole-number.js';

/** Longer units first where one ends with another. */
const unitMs: Readonly<Record<string, number>> = {
	ms: 1, s: 1000, m: 60_000, h: 3_600_000,
};

/** What a duration looks like, for messages. */
export const durationForm = 'a duration such as 500ms, 5s or 1m';

/** Milliseconds of a text such as `500ms` or `5s`; undefined when it is malformed. */
export function parseDuration(text: string): number | undefined {
	const unit = Object.keys(unitMs).find(name => text.endsWith(name));
	if (unit === undefined) {
		return undefined;
	}

	const count = parseWholeNumber(text.slice(0, -unit.length));
	return count === undefined ? undefined : count * unitMs[unit];
}

/** Shortest exact text of a duration in milliseconds. */
export function formatDuration(ms: number): string {
	for (const unit of ['h', 'm', 's']) {
		if (ms > 0 && ms % unitMs[unit] === 0) {
			return `${ms / unitMs[unit]}${unit}`;
		}
	}

	return `${ms}ms`;
}
