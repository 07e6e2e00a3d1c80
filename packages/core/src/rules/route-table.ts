/**
 * Finds the route of a request. The table is built once per configuration and used for every request.
 */
import {ErrorKind, RequestError} from '../errors/index.js';
import {anyRest, anySegment, keySegment} from './path-template.js';
import type {PoolRule, RouteRule, Rules} from './rules.js';

/** Route that matches a request. */
export type RouteMatch = {
	readonly route: RouteRule;
	readonly pool: PoolRule;
	/** Percent-decoded key; absent when the path template has no `{key}`. */
	readonly key?: string;
};

/** Route with precomputed positions of its path template. */
type RouteEntry = {
	readonly route: RouteRule;
	readonly pool: PoolRule;
	/** Index of the key segment; -1 without one. */
	readonly keyIndex: number;
	/** Number of segments before a final `**`, or of all segments. */
	readonly fixedCount: number;
	readonly hasRest: boolean;
};

/** Routes of one method, indexed by their first segment when it is a literal. */
class MethodTable {
	private readonly byFirst = new Map<string, RouteEntry[]>();
	private readonly wildcardEntries: RouteEntry[] = [];

	/** Adds an entry; entries must be added in the order of the file. */
	add(entry: RouteEntry): void {
		const first = entry.route.segments[0];
		if (entry.fixedCount === 0 || first === anySegment || first === keySegment) {
			this.wildcardEntries.push(entry);
			for (const list of this.byFirst.values()) {
				list.push(entry);
			}

			return;
		}

		const list = this.byFirst.get(first) ?? [...this.wildcardEntries];
		list.push(entry);
		this.byFirst.set(first, list);
	}

	find(segments: readonly string[]): RouteEntry | undefined {
		const list = this.byFirst.get(segments[0]) ?? this.wildcardEntries;
		return list.find(entry => matches(entry, segments));
	}
}

function matches(entry: RouteEntry, segments: readonly string[]): boolean {
	if (segments.length < entry.fixedCount || (segments.length > entry.fixedCount && !entry.hasRest)) {
		return false;
	}

	for (let i = 0; i < entry.fixedCount; i++) {
		const expected = entry.route.segments[i];
		const isAny = expected === anySegment || expected === keySegment;
		// An empty segment matches no wildcard, and templates cannot contain it as a literal.
		if (isAny ? segments[i] === '' : expected !== segments[i]) {
			return false;
		}
	}

	return true;
}

function decodeSegment(segment: string): string {
	try {
		return decodeURIComponent(segment);
	} catch {
		throw new RequestError(ErrorKind.BadRequest, 'malformed percent-encoding in the path');
	}
}

/** Returns the percent-decoded segments of a path without its query. */
function readPath(path: string): string[] {
	const query = path.indexOf('?');
	const plain = query === -1 ? path.slice(1) : path.slice(1, query);
	if (plain === '') {
		return [];
	}

	const raw = plain.split('/');
	const segments = plain.includes('%') ? raw.map(segment => decodeSegment(segment)) : raw;
	// A target might resolve dot segments and so act on another key than the one used for routing.
	if (segments.includes('..') || segments.includes('.')) {
		throw new RequestError(ErrorKind.BadRequest, 'the path has a dot segment');
	}

	return segments;
}

/** Routes of one configuration, prepared for matching. The first match wins. */
export class RouteTable {
	private readonly methods = new Map<string, MethodTable>();

	constructor(rules: Rules) {
		for (const route of rules.routes) {
			this.add(rules, route);
		}
	}

	/**
	 * Returns the route of a request target such as `/tickets/T%201?full=yes`.
	 * Throws `RequestError` of kind `BadRequest` when the path is malformed.
	 */
	match(method: string, path: string): RouteMatch | undefined {
		const table = this.methods.get(method);
		if (!table || !path.startsWith('/')) {
			return undefined;
		}

		const segments = readPath(path);
		const entry = table.find(segments);
		if (!entry) {
			return undefined;
		}

		const {route, pool, keyIndex} = entry;
		return keyIndex === -1 ? {route, pool} : {route, pool, key: segments[keyIndex]};
	}

	private add(rules: Rules, route: RouteRule): void {
		const pool = rules.pools.get(route.pool);
		if (!pool) {
			return;
		}

		const hasRest = route.segments.at(-1) === anyRest;
		const entry: RouteEntry = {
			route,
			pool,
			keyIndex: route.segments.indexOf(keySegment),
			fixedCount: hasRest ? route.segments.length - 1 : route.segments.length,
			hasRest,
		};
		for (const method of route.methods) {
			const table = this.methods.get(method) ?? new MethodTable();
			table.add(entry);
			this.methods.set(method, table);
		}
	}
}

/** Returns the route of one request, for single look-ups. Throws like `RouteTable.match`. */
export function matchRoute(rules: Rules, method: string, path: string): RouteMatch | undefined {
	return new RouteTable(rules).match(method, path);
}
