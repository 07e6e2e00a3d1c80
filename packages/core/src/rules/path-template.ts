/**
 * Path templates of routes, made of literal segments, `{key}`, `*` and a final `**`.
 */
import {LineError} from './problem.js';

/** Matches the segment that holds the key. */
export const keySegment = '{key}';
/** Matches any single non-empty segment. */
export const anySegment = '*';
/** Matches any number of remaining segments, including none; only allowed as the last segment. */
export const anyRest = '**';

const templateForm = 'a path such as /tickets/{key}/close';
const reservedCharacters = ['*', '%', '?', '{', '}'];

function checkSegment(segment: string, isLast: boolean): void {
	if (segment === keySegment || segment === anySegment) {
		return;
	}

	if (segment === anyRest) {
		if (!isLast) {
			throw new LineError('** appears before the end of the path', '** as the last segment');
		}

		return;
	}

	if (segment === '' || segment === '.' || segment === '..') {
		throw new LineError(`the path has the segment "${segment}"`, templateForm);
	}

	if (reservedCharacters.some(character => segment.includes(character))) {
		throw new LineError(`malformed segment "${segment}"`, 'a plain unescaped word, {key}, * or a last **');
	}
}

/** Returns the segments of a path template; `/` has none. Throws `LineError` when it is malformed. */
export function parseTemplate(template: string): string[] {
	if (!template.startsWith('/')) {
		throw new LineError(`the path "${template}" does not start with /`, templateForm);
	}

	if (template === '/') {
		return [];
	}

	const segments = template.slice(1).split('/');
	for (const [i, segment] of segments.entries()) {
		checkSegment(segment, i === segments.length - 1);
	}

	if (segments.filter(segment => segment === keySegment).length > 1) {
		throw new LineError('{key} appears more than once', '{key} once');
	}

	return segments;
}

/** Returns the text of a path template. */
export function formatTemplate(segments: readonly string[]): string {
	return '/' + segments.join('/');
}

/** Returns whether `outer` matches every path that `inner` matches. */
export function covers(outer: readonly string[], inner: readonly string[]): boolean {
	for (const [i, segment] of outer.entries()) {
		if (segment === anyRest) {
			return true;
		}

		if (i >= inner.length || inner[i] === anyRest) {
			return false;
		}

		const isAny = segment === anySegment || segment === keySegment;
		if (!isAny && segment !== inner[i]) {
			return false;
		}
	}

	return outer.length === inner.length;
}
