/**
 * Publishes a configuration, unless another one was published since the one it is based on.
 */
import type {LogService} from '@bluebellyard/coordination';
import {
	decodeRecord, formatProblem, findIneffectiveRules, makeRecord, parseRules, RecordKind, RejectReason, type Tables, type Verdict,
} from '@bluebellyard/core';
import {lineDiff, readBase} from '../edit/index.js';
import {type Env, requireLog} from '../env.js';
import {FoldedLog} from '../platform/index.js';
import {
	ExitCode, failure, type Report, withWarnings,
} from '../report.js';
import {publishRecord} from './await-record.js';
import {controlAddresses, waitInForce} from './wait-in-force.js';

/** Configuration to publish. */
export type Publication = {
	readonly text: string;
	/** Offset of the configuration that the text is based on. */
	readonly base: number;
	/** Whether to wait until the configuration is in force at every instance. */
	readonly wait: boolean;
};

function createConflictReport(base: number, offset: number, diff: readonly string[]): Report {
	const summary = `conflict: made from configuration ${base}, but ${offset} is in force; nothing was changed`;
	return failure(ExitCode.Refused, [summary, 'the other edit:', ...diff], {
		conflict: true, base, config: offset, diff,
	});
}

function createRefusalReport(verdict: Verdict): Report {
	const detail = verdict.detail === undefined ? '' : `: ${verdict.detail}`;
	return failure(ExitCode.Refused, [`refused: ${verdict.reason}${detail}`], {reason: verdict.reason, detail: verdict.detail});
}

/** Returns the text of the configuration at an offset; empty when the log no longer retains it. */
async function readConfigText(log: LogService, offset: number): Promise<string> {
	if (offset === 0) {
		return '';
	}

	try {
		const page = await log.read(offset, 1, 0);
		const record = decodeRecord(page.records.at(0)?.data ?? '');
		return record?.kind === RecordKind.Config ? record.text : '';
	} catch {
		return '';
	}
}

async function createAcceptedReport(env: Env, folded: FoldedLog, offset: number, wait: boolean): Promise<Report> {
	const line = `accepted: configuration ${offset}`;
	if (!wait) {
		return {exit: ExitCode.Ok, lines: [line], json: {config: offset}};
	}

	const report = await waitInForce(env, controlAddresses(env, folded.tables), offset);
	return {...report, lines: [line, ...report.lines], json: {config: offset, ...report.json}};
}

/** Publishes a configuration on top of a state that was already loaded. */
export async function publishOn(env: Env, folded: FoldedLog, publication: Publication): Promise<Report> {
	const {text, base, wait} = publication;
	const log = requireLog(env);
	const current = folded.tables.config;
	if (current.offset !== base) {
		return createConflictReport(base, current.offset, lineDiff(await readConfigText(log, base), current.text));
	}

	const record = makeRecord({kind: RecordKind.Config, base, text}, env.newId(), env.operator);
	const expected = folded.tryRecord(record);
	if (!expected.accepted) {
		return createRefusalReport(expected);
	}

	const {offset, verdict, before} = await publishRecord(env, log, folded, record);
	if (verdict.accepted) {
		return createAcceptedReport(env, folded, offset, wait);
	}

	return verdict.reason === RejectReason.StaleConfig
		? createConflictReport(base, before.offset, lineDiff(current.text, before.text))
		: createRefusalReport(verdict);
}

/** Returns a report of the problems in a rules file; undefined when there are none. */
export function rulesProblems(file: string, text: string): Report | undefined {
	const {problems} = parseRules(text);
	if (problems.length === 0) {
		return undefined;
	}

	const lines = problems.map(problem => `${file}: ${formatProblem(problem)}`);
	return failure(ExitCode.BadInput, lines, {problems});
}

/** Returns a warning for each rule of a valid text that has no effect. */
export function warnings(text: string, tables: Tables): string[] {
	const {rules} = parseRules(text);
	const ineffective = rules ? findIneffectiveRules(rules, [...tables.targets.values()]) : [];
	return ineffective.map(problem => `warning: ${formatProblem(problem)}`);
}

/** Publishes a rules file. The base is `options.base`, or else the one in the header of the file, or else the configuration in force. */
export async function publish(env: Env, file: string, fileText: string, options: {base?: number; wait: boolean}): Promise<Report> {
	const problems = rulesProblems(file, fileText);
	if (problems) {
		return problems;
	}

	const {text, base} = readBase(fileText);
	const folded = await FoldedLog.load(requireLog(env));
	const report = await publishOn(env, folded, {
		text, base: options.base ?? base ?? folded.tables.config.offset, wait: options.wait,
	});
	return withWarnings(report, warnings(text, folded.tables));
}
