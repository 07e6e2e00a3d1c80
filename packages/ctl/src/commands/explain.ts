/**
 * Tells why a request goes where it goes.
 */
import {
	formatTemplate, keySegment, PoolKind, RequestError, RouteTable, shardOf, type Tables,
} from '@bluebellyard/core';
import {CtlError} from '../ctl-error.js';
import {type Env, requireLog} from '../env.js';
import {type Explanation, FoldedLog} from '../platform/index.js';
import {ExitCode, failure, type Report} from '../report.js';
import {controlAddresses} from './wait-in-force.js';

/** What an operator asks about. */
export type Question = {
	/** A path that starts with a slash, or a key. */
	readonly subject: string;
	readonly method: string;
	/** Pool of the key; undefined for the first one with a route of this method. */
	readonly pool?: string;
};

/** Path of a request for a key, by the first route without other wildcards. */
function findPathOfKey(tables: Tables, {subject, method, pool}: Question): string {
	const route = tables.config.rules.routes.find(rule =>
		rule.methods.includes(method)
		&& (pool === undefined || rule.pool === pool)
		&& rule.segments.includes(keySegment)
		&& !rule.segments.some(segment => segment.startsWith('*')));
	if (!route) {
		throw new CtlError(ExitCode.BadInput, `no ${method} route leads to a key; expected a path that starts with /`);
	}

	return formatTemplate(route.segments).replace(keySegment, () => encodeURIComponent(subject));
}

function describeOwner(tables: Tables, pool: string, key: string): Explanation {
	const row = tables.pools.get(pool);
	if (!row) {
		return {};
	}

	const shard = shardOf(row, key);
	const {owner, fence} = row.shards[shard];
	const target = tables.targets.get(owner);
	return {
		shard, owner, fence, domain: target?.domain, state: target?.state, steward: target?.steward,
	};
}

/** Explains a request from folded tables alone. */
export function explainRequest(tables: Tables, method: string, path: string): Explanation {
	const match = new RouteTable(tables.config.rules).match(method, path);
	if (!match) {
		return {method, path, route: 'none'};
	}

	const {route, pool, key} = match;
	const owner = pool.kind === PoolKind.Keyed && key !== undefined ? describeOwner(tables, pool.name, key) : {};
	return {
		method,
		path,
		config: tables.config.offset,
		route: formatTemplate(route.segments),
		line: route.source?.line,
		who: route.source?.who,
		repeat: route.repeat,
		pool: pool.name,
		kind: pool.kind,
		key,
		...owner,
	};
}

function explainFromTables(tables: Tables, method: string, path: string): Explanation {
	try {
		return explainRequest(tables, method, path);
	} catch (err) {
		if (err instanceof RequestError) {
			throw new CtlError(ExitCode.BadInput, `malformed path ${path}: ${err.detail}`);
		}

		throw err;
	}
}

async function fetchFirstAnswer(env: Env, addresses: readonly string[], method: string, path: string): Promise<Explanation | undefined> {
	for (const address of addresses) {
		try {
			// One instance is enough; the next is asked only when it fails.
			// eslint-disable-next-line no-await-in-loop
			return {from: address, ...await env.clients.explain(address, method, path)};
		} catch {
			continue;
		}
	}

	return undefined;
}

function toReport(explanation: Explanation): Report {
	const lines = Object.entries(explanation)
		.filter(([, value]) => value !== undefined)
		.map(([name, value]) => `${name}: ${typeof value === 'string' ? value : JSON.stringify(value)}`);
	return {exit: ExitCode.Ok, lines, json: explanation};
}

/** Asks an instance; without an answer, explains from the log. */
export async function explain(env: Env, question: Question): Promise<Report> {
	const isPath = question.subject.startsWith('/');
	const needsLog = !isPath || env.instances.length === 0;
	const folded = needsLog ? await FoldedLog.load(requireLog(env)) : undefined;
	const tables = folded?.tables;
	const path = isPath || !tables ? question.subject : findPathOfKey(tables, question);
	const answer = await fetchFirstAnswer(env, controlAddresses(env, tables), question.method, path);
	if (answer) {
		return toReport(answer);
	}

	return tables
		? toReport({from: 'log', ...explainFromTables(tables, question.method, path)})
		: failure(ExitCode.Unreachable, ['no instance answers']);
}
