/**
 * Parses a rules file into the `Rules` model and reports all problems at once.
 */
import {
	anyRest, anySegment, covers, keySegment,
} from './path-template.js';
import {parsePool} from './parse-pool.js';
import {parseRoute} from './parse-route.js';
import {LineError, type RuleProblem} from './problem.js';
import {parseRuleLine, splitLines} from './rule-line.js';
import {checkName} from './rule-name.js';
import {
	PoolKind, type PoolRule, type RouteRule, type Rules, type RuleSource,
} from './rules.js';

/** Rules of a text, or what is wrong with it. */
export type ParseResult = {
	/** Present only when there are no problems. */
	readonly rules?: Rules;
	readonly problems: readonly RuleProblem[];
};

type SourcedRoute = RouteRule & {readonly source: RuleSource};

/** Routes by method and first segment, so that only those that may cover a route are compared. */
class EarlierRoutes {
	private readonly rows = new Map<string, SourcedRoute[]>();

	/** Adds a route. */
	add(route: SourcedRoute): void {
		for (const method of route.methods) {
			const key = rowKey(method, route);
			const row = this.rows.get(key) ?? [];
			row.push(route);
			this.rows.set(key, row);
		}
	}

	/** The first route that matches whatever the given one would. */
	find(method: string, route: SourcedRoute): SourcedRoute | undefined {
		const firstOf = (key: string) => this.rows.get(key)?.find(other => covers(other.segments, route.segments));
		const found = [firstOf(rowKey(method, route)), firstOf(`${method} `)].filter(other => other !== undefined);
		return found.toSorted((a, b) => a.source.line - b.source.line)[0];
	}
}

/** Method and first segment; nothing for a first segment that matches any text. */
function rowKey(method: string, {segments: [first = '']}: SourcedRoute): string {
	return openSegments.has(first) ? `${method} ` : `${method} ${first}`;
}

/** First segments that match any text; a path without segments counts with them. */
const openSegments = new Set([keySegment, anySegment, anyRest, '']);

/** The rules read so far. */
class RulesBuilder {
	readonly pools = new Map<string, PoolRule>();
	readonly routes: SourcedRoute[] = [];
	readonly domainsOut = new Set<string>();
	readonly targetsOut = new Set<string>();
	readonly domainsLost = new Set<string>();
	readonly problems: RuleProblem[] = [];

	addLine(text: string, line: number): void {
		const read = parseRuleLine(text);
		if (!read) {
			return;
		}

		const who = read.who ?? '';
		if (who === '') {
			this.report(line, 'no comment names who asked for the rule', 'a comment at the end: # who');
		}

		try {
			this.addWords(read.words, {line, who});
		} catch (err) {
			if (!(err instanceof LineError)) {
				throw err;
			}

			this.report(line, err.what, err.expected);
		}
	}

	checkRoutes(): void {
		const earlier = new EarlierRoutes();
		for (const route of this.routes) {
			this.checkPool(route);
			this.checkReachable(route, earlier);
			earlier.add(route);
		}
	}

	toRules(): Rules {
		const {pools, routes, domainsOut, targetsOut, domainsLost} = this;
		return {
			pools, routes, domainsOut, targetsOut, domainsLost,
		};
	}

	private addWords(words: readonly string[], source: RuleSource): void {
		switch (words[0]) {
			case 'pool': {
				this.addPool(parsePool(words, source));
				break;
			}

			case 'route': {
				this.routes.push(...parseRoute(words, source).map(route => ({...route, source})));
				break;
			}

			case 'out':
			case 'lost': {
				this.addName(words);
				break;
			}

			default: {
				throw new LineError(`unknown rule "${words[0]}"`, 'pool, route, out or lost');
			}
		}
	}

	private addPool(pool: PoolRule): void {
		if (this.pools.has(pool.name)) {
			throw new LineError(`pool ${pool.name} is already defined`, 'one line for a pool');
		}

		this.pools.set(pool.name, pool);
	}

	private addName(words: readonly string[]): void {
		const [verb, kind, name, ...rest] = words;
		const names = this.namesOf(verb, kind);
		if (!names || name === undefined || rest.length > 0) {
			throw new LineError(`malformed rule "${words.join(' ')}"`, 'out domain NAME, out target NAME or lost domain NAME');
		}

		checkName(kind, name);
		if (names.has(name)) {
			throw new LineError(`"${words.join(' ')}" stands twice`, 'one such line');
		}

		names.add(name);
	}

	private namesOf(verb: string, kind: string | undefined): Set<string> | undefined {
		if (kind === 'domain') {
			return verb === 'out' ? this.domainsOut : this.domainsLost;
		}

		return verb === 'out' && kind === 'target' ? this.targetsOut : undefined;
	}

	private checkPool(route: SourcedRoute): void {
		const {line} = route.source;
		const pool = this.pools.get(route.pool);
		if (!pool) {
			this.report(line, `unknown pool "${route.pool}"`, 'a pool with a line of its own');
			return;
		}

		if (pool.kind === PoolKind.Keyed && !route.segments.includes(keySegment)) {
			this.report(line, `the path has no {key} but pool ${pool.name} is keyed`, '{key} once');
		}
	}

	private checkReachable(route: SourcedRoute, earlier: EarlierRoutes): void {
		for (const method of route.methods) {
			const shadow = earlier.find(method, route);
			if (shadow) {
				this.report(
					route.source.line,
					`${method} of this route is never reached: line ${shadow.source.line} matches first`,
					'the narrower route first, and each route once',
				);
			}
		}
	}

	private report(line: number, what: string, expected: string): void {
		this.problems.push({line, what, expected});
	}
}

/** Parses a whole rules file; never throws on any text. */
export function parseRules(text: string): ParseResult {
	const builder = new RulesBuilder();
	for (const [i, line] of splitLines(text).entries()) {
		builder.addLine(line, i + 1);
	}

	builder.checkRoutes();
	if (builder.problems.length > 0) {
		return {problems: builder.problems.toSorted((a, b) => a.line - b.line)};
	}

	return {rules: builder.toRules(), problems: []};
}
