/**
 * Path templates of routes: literals, `{key}`, `*` and a last `**`.
 */
import {LineError} from './problem.js';

/** Marks the segment that carries the key. */
export const keySegment = '{key}';
/** Matches any one segment that is not empty. */
export const anySegment = '*';
/** As the last segment, matches any rest, also an empty one. */
export const anyRest = '**';

const templateForm = 'a path such as /tickets/{key}/close';
const reservedCharacters = ['*', '%', '?', '{', '}'];

function checkSegment(segment: string, isLast: boolean): void {
	if (segment === keySegment || segment === anySegment) {
		return;
	}

	if (segment === anyRest) {
		if (!isLast) {
			throw new LineError('** stands before the end of the path', '** as the last segment');
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

/** Segments of a path template; `/` has none. */
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
		throw new LineError('{key} stands more than once', '{key} once');
	}

	return segments;
}

/** Text of a path template. */
export function formatTemplate(segments: readonly string[]): string {
	return '/' + segments.join('/');
}

/** Whether every path that `inner` matches is matched by `outer`. */
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
