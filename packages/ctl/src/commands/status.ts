/**
 * Shows which configuration is in force at each instance, and the state of the targets.
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
	/** Absent when the instance did not answer. */
	readonly status?: InstanceStatus;
};

async function loadTables(context: CommandContext): Promise<Tables | undefined> {
	if (!context.log) {
		return undefined;
	}

	try {
		const {tables} = await FoldedLog.load(context.log);
		return tables;
	} catch (err) {
		if (err instanceof CtlError) {
			return undefined;
		}

		throw err;
	}
}

async function fetchInstanceAnswer(context: CommandContext, address: string): Promise<InstanceAnswer> {
	try {
		return {address, status: await context.instanceClient.fetchStatus(address)};
	} catch {
		return {address};
	}
}

function countShards(tables: Tables, target: string): number {
	let count = 0;
	for (const pool of tables.pools.values()) {
		count += pool.shards.filter(shard => shard.owner === target).length;
	}

	return count;
}

function listTargets(tables: Tables): TargetStatus[] {
	return [...tables.targets.values()].map(row => ({
		target: row.name,
		pool: row.pool,
		domain: row.domain,
		steward: row.steward,
		tenure: row.tenure,
		state: row.state,
		shards: countShards(tables, row.name),
	}));
}

function formatInstances(answers: readonly InstanceAnswer[], accepted: number): string[] {
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

function formatTargets(targets: readonly TargetStatus[]): string[] {
	return formatTable(['TARGET', 'POOL', 'DOMAIN', 'STATE', 'SHARDS', 'STEWARD'], targets.map(row =>
		[row.target, row.pool, row.domain, row.state, String(row.shards), row.steward]));
}

/** Sorts by pool and name; numbers in names are compared as numbers. */
function sortTargets(targets: readonly TargetStatus[]): TargetStatus[] {
	const options = {numeric: true};
	return targets.toSorted((a, b) =>
		a.pool.localeCompare(b.pool, 'en', options) || a.target.localeCompare(b.target, 'en', options));
}

/** Returns what an instance reports about itself, without its lists of targets and instances. */
function omitClusterView({address, status}: InstanceAnswer): Record<string, unknown> {
	if (!status) {
		return {address, answers: false};
	}

	const {targets, instances, ...own} = status;
	return {address, answers: true, ...own};
}

/** Combines the state of the log with the answers of all instances; either is enough. */
export async function status(context: CommandContext): Promise<Report> {
	const tables = await loadTables(context);
	const answers = await Promise.all(findControlAddresses(context, tables).map(async address => fetchInstanceAnswer(context, address)));
	const newest = answers
		.map(answer => answer.status)
		.filter(instanceStatus => instanceStatus !== undefined)
		.toSorted((a, b) => b.folded - a.folded)
		.at(0);
	if (!tables && !newest) {
		return createFailureReport(ExitCode.Unreachable, ['neither the log service nor an instance answers; expected --log URL, or --instances ip:port,...']);
	}

	const config = tables?.config.offset ?? newest?.config ?? 0;
	const targets = sortTargets(newest?.targets ?? (tables ? listTargets(tables) : []));
	const log = tables ? `log folded to ${tables.folded}` : 'log not reached';
	return {
		exit: ExitCode.Ok,
		lines: [`configuration ${config}, ${log}`, '', ...formatInstances(answers, config), '', ...formatTargets(targets)],
		json: {
			config, folded: tables?.folded, instances: answers.map(answer => omitClusterView(answer)), targets,
		},
	};
}
