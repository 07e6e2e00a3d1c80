/**
 * Finds the route of a request. Built once per configuration; used for every request.
 */
import {ErrorKind, RequestError} from '../errors/index.js';
import {anyRest, anySegment, keySegment} from './path-template.js';
import type {PoolRule, RouteRule, Rules} from './rules.js';

/** The route of a request. */
export type RouteMatch = {
	readonly route: RouteRule;
	readonly pool: PoolRule;
	/** Percent-decoded key; absent when the path of the route has no `{key}`. */
	readonly key?: string;
};

/** One route with the position of its key. */
type RouteEntry = {
	readonly route: RouteRule;
	readonly pool: PoolRule;
	/** Index of the key segment; -1 without one. */
	readonly keyIndex: number;
	/** Number of segments before a last `**`, or of all segments. */
	readonly fixedCount: number;
	readonly hasRest: boolean;
};

/** Routes of one method, by their first segment when it is a literal. */
class MethodTable {
	private readonly byFirst = new Map<string, RouteEntry[]>();
	private readonly wildcardEntries: RouteEntry[] = [];

	/** Entries must be added in the order of the file. */
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
		const wanted = entry.route.segments[i];
		const isAny = wanted === anySegment || wanted === keySegment;
		// An empty segment is no key; only a route without wildcards could name it, and none does.
		if (isAny ? segments[i] === '' : wanted !== segments[i]) {
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

/** Percent-decoded segments of a path, without its query. */
function readPath(path: string): string[] {
	const query = path.indexOf('?');
	const plain = query === -1 ? path.slice(1) : path.slice(1, query);
	if (plain === '') {
		return [];
	}

	const raw = plain.split('/');
	const segments = plain.includes('%') ? raw.map(segment => decodeSegment(segment)) : raw;
	// A target might resolve dot segments and reach another key than the one routed by.
	if (segments.includes('..') || segments.includes('.')) {
		throw new RequestError(ErrorKind.BadRequest, 'the path has a dot segment');
	}

	return segments;
}

/** Routes of one configuration, ready for matching. The first match wins. */
export class RouteTable {
	private readonly methods = new Map<string, MethodTable>();

	constructor(rules: Rules) {
		for (const route of rules.routes) {
			this.add(rules, route);
		}
	}

	/**
	 * The route of a request target such as `/tickets/T%201?full=yes`.
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

/** The route of one request; for a single look-up. Throws as `RouteTable.match` does. */
export function matchRoute(rules: Rules, method: string, path: string): RouteMatch | undefined {
	return new RouteTable(rules).match(method, path);
}
