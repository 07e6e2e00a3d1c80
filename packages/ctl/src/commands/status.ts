/**
 * Shows which configuration each instance has in force and who owns what.
 */
import type {Tables} from '@bluebellyard/core';
import {CtlError} from '../ctl-error.js';
import type {CommandContext} from '../command-context.js';
import {FoldedLog, type InstanceStatus, type TargetStatus} from '../platform/index.js';
import {ExitCode, createFailureReport, type Report} from '../report.js';
import {formatTable} from './format-table.js';
import {findControlAddresses} from './wait-until-in-force.js';

type InstanceAnswer = {
	readonly address: string;
	/** Absent without an answer. */
	readonly status?: InstanceStatus;
};

async function loadTables(env: CommandContext): Promise<Tables | undefined> {
	if (!env.log) {
		return undefined;
	}

	try {
		const {tables} = await FoldedLog.load(env.log);
		return tables;
	} catch (err) {
		if (err instanceof CtlError) {
			return undefined;
		}

		throw err;
	}
}

async function ask(env: CommandContext, address: string): Promise<InstanceAnswer> {
	try {
		return {address, status: await env.instanceClient.fetchStatus(address)};
	} catch {
		return {address};
	}
}

function shardCount(tables: Tables, target: string): number {
	let count = 0;
	for (const pool of tables.pools.values()) {
		count += pool.shards.filter(shard => shard.owner === target).length;
	}

	return count;
}

function targetsOf(tables: Tables): TargetStatus[] {
	return [...tables.targets.values()].map(row => ({
		target: row.name,
		pool: row.pool,
		domain: row.domain,
		steward: row.steward,
		tenure: row.tenure,
		state: row.state,
		shards: shardCount(tables, row.name),
	}));
}

function instanceLines(answers: readonly InstanceAnswer[], accepted: number): string[] {
	const rows = answers.map(({address, status}) => {
		if (!status) {
			return [address, 'no answer', '', '', '', '', ''];
		}

		const {
			instance, domain, config, folded, ready, rightMs,
		} = status;
		const configText = config < accepted ? `${config} (behind)` : String(config);
		return [address, instance, domain, configText, String(folded), ready ? 'yes' : 'no', typeof rightMs === 'number' ? `${rightMs}ms` : ''];
	});
	return formatTable(['ADDRESS', 'INSTANCE', 'DOMAIN', 'CONFIG', 'FOLDED', 'READY', 'RIGHT'], rows);
}

function targetLines(targets: readonly TargetStatus[]): string[] {
	return formatTable(['TARGET', 'POOL', 'DOMAIN', 'STATE', 'SHARDS', 'STEWARD'], targets.map(row =>
		[row.target, row.pool, row.domain, row.state, String(row.shards), row.steward]));
}

/** By pool and name, with the numbers in names in their order. */
function sorted(targets: readonly TargetStatus[]): TargetStatus[] {
	const options = {numeric: true};
	return targets.toSorted((a, b) =>
		a.pool.localeCompare(b.pool, 'en', options) || a.target.localeCompare(b.target, 'en', options));
}

/** What an instance says about itself, without what it says about others. */
function aboutItself({address, status}: InstanceAnswer): Record<string, unknown> {
	if (!status) {
		return {address, answers: false};
	}

	const {targets, instances, ...own} = status;
	return {address, answers: true, ...own};
}

/** Status from the log and all instances; works while either can be reached. */
export async function status(env: CommandContext): Promise<Report> {
	const tables = await loadTables(env);
	const answers = await Promise.all(findControlAddresses(env, tables).map(async address => ask(env, address)));
	const newest = answers
		.map(answer => answer.status)
		.filter(found => found !== undefined)
		.toSorted((a, b) => b.folded - a.folded)
		.at(0);
	if (!tables && !newest) {
		return createFailureReport(ExitCode.Unreachable, ['neither the log service nor an instance answers; expected --log URL, or --instances ip:port,...']);
	}

	const config = tables?.config.offset ?? newest?.config ?? 0;
	const targets = sorted(newest?.targets ?? (tables ? targetsOf(tables) : []));
	const log = tables ? `log folded to ${tables.folded}` : 'log not reached';
	return {
		exit: ExitCode.Ok,
		lines: [`configuration ${config}, ${log}`, '', ...instanceLines(answers, config), '', ...targetLines(targets)],
		json: {
			config, folded: tables?.folded, instances: answers.map(answer => aboutItself(answer)), targets,
		},
	};
}
