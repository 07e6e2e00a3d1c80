/**
 * Explains how a request is routed.
 */
import {
	formatTemplate, keySegment, PoolKind, RequestError, RouteTable, findShard, type Tables,
} from '@bluebellyard/core';
import {CtlError} from '../ctl-error.js';
import {type CommandContext, requireLog} from '../command-context.js';
import {type Explanation, FoldedLog} from '../platform/index.js';
import {ExitCode, createFailureReport, type Report} from '../report.js';
import {findControlAddresses} from './wait-until-in-force.js';

/** Request or key to explain. */
export type ExplainQuery = {
	/** A path, which starts with a slash, or a key. */
	readonly subject: string;
	readonly method: string;
	/** Pool of the key; when undefined, the first pool with a matching route for this method. */
	readonly pool?: string;
};

/** Returns the path of a request for a key, from the first matching route without other wildcards. */
function findPathOfKey(tables: Tables, {subject, method, pool}: ExplainQuery): string {
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

	const shard = findShard(row, key);
	const {owner, fence} = row.shards[shard];
	const target = tables.targets.get(owner);
	return {
		shard, owner, fence, domain: target?.domain, state: target?.state, steward: target?.steward,
	};
}

/** Explains a request by the folded tables alone. */
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

async function fetchFirstAnswer(context: CommandContext, addresses: readonly string[], method: string, path: string): Promise<Explanation | undefined> {
	for (const address of addresses) {
		try {
			// One answer is enough; the next instance is asked only when this one fails.
			// eslint-disable-next-line no-await-in-loop
			return {from: address, ...await context.instanceClient.fetchExplanation(address, method, path)};
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

/** Asks the instances in turn; when none answers, explains by the state of the log. */
export async function explain(context: CommandContext, query: ExplainQuery): Promise<Report> {
	const isPath = query.subject.startsWith('/');
	const needsLog = !isPath || context.instances.length === 0;
	const folded = needsLog ? await FoldedLog.load(requireLog(context)) : undefined;
	const tables = folded?.tables;
	const path = isPath || !tables ? query.subject : findPathOfKey(tables, query);
	const answer = await fetchFirstAnswer(context, findControlAddresses(context, tables), query.method, path);
	if (answer) {
		return toReport(answer);
	}

	return tables
		? toReport({from: 'log', ...explainFromTables(tables, query.method, path)})
		: createFailureReport(ExitCode.Unreachable, ['no instance answers']);
}
