/**
 * Parses `route METHODS PATH-TEMPLATE POOL [once|idempotent]`.
 */
import {parseTemplate} from './path-template.js';
import {LineError} from './problem.js';
import {checkName} from './rule-name.js';
import {Repeat, type RouteRule, type RuleSource} from './rules.js';

const knownMethods = new Set(['GET', 'HEAD', 'POST', 'PUT', 'PATCH', 'DELETE', 'OPTIONS']);
const onceMethods = new Set(['POST', 'PATCH']);
const repeatsByWord = new Map<string, Repeat>(Object.values(Repeat).map(repeat => [repeat, repeat]));
const routeSyntax = 'route METHODS PATH POOL [once|idempotent]  # who';

function parseMethods(text: string): string[] {
	const methods = text.split(',');
	for (const [i, method] of methods.entries()) {
		if (!knownMethods.has(method)) {
			throw new LineError(`unknown method "${method}"`, [...knownMethods].join(', '));
		}

		if (methods.indexOf(method) !== i) {
			throw new LineError(`method ${method} appears twice`, `${method} once`);
		}
	}

	return methods;
}

function parseRepeat(text: string): Repeat {
	const repeat = repeatsByWord.get(text);
	if (repeat === undefined) {
		throw new LineError(`unknown word "${text}"`, 'once or idempotent');
	}

	return repeat;
}

function defaultRepeat(method: string): Repeat {
	return onceMethods.has(method) ? Repeat.Once : Repeat.Idempotent;
}

/**
 * Parses the words of a line that start with `route`. When the methods of the
 * line have different defaults, returns one route that is once and one that is
 * idempotent. Throws `LineError`.
 */
export function parseRoute(words: readonly string[], source: RuleSource): RouteRule[] {
	const [, methodText, template, pool, repeatText, ...rest] = words;
	if (methodText === undefined || template === undefined || pool === undefined) {
		throw new LineError('the route is incomplete', routeSyntax);
	}

	if (rest.length > 0) {
		throw new LineError(`too many words: "${rest.join(' ')}"`, routeSyntax);
	}

	const methods = parseMethods(methodText);
	const repeat = repeatText === undefined ? undefined : parseRepeat(repeatText);
	const segments = parseTemplate(template);
	checkName('pool', pool);
	if (repeat !== undefined) {
		return [{
			methods, segments, pool, repeat, source,
		}];
	}

	return Object.values(Repeat)
		.map(value => ({
			methods: methods.filter(method => defaultRepeat(method) === value), segments, pool, repeat: value, source,
		}))
		.filter(route => route.methods.length > 0);
}
