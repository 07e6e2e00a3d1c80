/**
 * Publishes a configuration on the condition that nobody published another one meanwhile.
 */
import type {LogService} from '@bluebellyard/coordination';
import {
	decodeRecord, formatProblem, findIneffectiveRules, makeRecord, parseRules, RecordKind, RejectReason, type Tables, type Verdict,
} from '@bluebellyard/core';
import {diffLines, parseBaseHeader} from '../edit/index.js';
import {type CommandContext, requireLog} from '../command-context.js';
import {FoldedLog} from '../platform/index.js';
import {
	ExitCode, createFailureReport, type Report, withWarnings,
} from '../report.js';
import {publishRecord} from './publish-record.js';
import {findControlAddresses, waitUntilInForce} from './wait-until-in-force.js';

/** A text to publish. */
export type Publication = {
	readonly text: string;
	/** Offset of the configuration that the operator saw. */
	readonly base: number;
	/** Whether to wait until it is in force everywhere. */
	readonly wait: boolean;
};

function conflict(base: number, offset: number, diff: readonly string[]): Report {
	const first = `conflict: made from configuration ${base}, but ${offset} is in force; nothing was changed`;
	return createFailureReport(ExitCode.Refused, [first, 'the other edit:', ...diff], {
		conflict: true, base, config: offset, diff,
	});
}

function refusal(verdict: Verdict): Report {
	const detail = verdict.detail === undefined ? '' : `: ${verdict.detail}`;
	return createFailureReport(ExitCode.Refused, [`refused: ${verdict.reason}${detail}`], {reason: verdict.reason, detail: verdict.detail});
}

/** Text of the configuration at an offset; empty when the log no longer keeps it. */
async function textAt(log: LogService, offset: number): Promise<string> {
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

async function accepted(env: CommandContext, folded: FoldedLog, offset: number, wait: boolean): Promise<Report> {
	const line = `accepted: configuration ${offset}`;
	if (!wait) {
		return {exit: ExitCode.Ok, lines: [line], json: {config: offset}};
	}

	const report = await waitUntilInForce(env, findControlAddresses(env, folded.tables), offset);
	return {...report, lines: [line, ...report.lines], json: {config: offset, ...report.json}};
}

/** Publishes on a state that was loaded before. */
export async function publishOnto(env: CommandContext, folded: FoldedLog, publication: Publication): Promise<Report> {
	const {text, base, wait} = publication;
	const log = requireLog(env);
	const seen = folded.tables.config;
	if (seen.offset !== base) {
		return conflict(base, seen.offset, diffLines(await textAt(log, base), seen.text));
	}

	const record = makeRecord({kind: RecordKind.Config, base, text}, env.createRecordId(), env.operator);
	const tried = folded.tryRecord(record);
	if (!tried.accepted) {
		return refusal(tried);
	}

	const {offset, verdict, previousConfig: before} = await publishRecord(env, log, folded, record);
	if (verdict.accepted) {
		return accepted(env, folded, offset, wait);
	}

	return verdict.reason === RejectReason.StaleConfig
		? conflict(base, before.offset, diffLines(seen.text, before.text))
		: refusal(verdict);
}

/** Problems of a rules file as a report; undefined when there are none. */
export function reportRuleProblems(file: string, text: string): Report | undefined {
	const {problems} = parseRules(text);
	if (problems.length === 0) {
		return undefined;
	}

	const lines = problems.map(problem => `${file}: ${formatProblem(problem)}`);
	return createFailureReport(ExitCode.BadInput, lines, {problems});
}

/** Lines about rules of a good text that change nothing. */
export function findWarnings(text: string, tables: Tables): string[] {
	const {rules} = parseRules(text);
	const idle = rules ? findIneffectiveRules(rules, [...tables.targets.values()]) : [];
	return idle.map(problem => `warning: ${formatProblem(problem)}`);
}

/** Publishes a rules file. Without `base`, the one in its header counts, else the one in force. */
export async function publish(env: CommandContext, file: string, fileText: string, options: {base?: number; wait: boolean}): Promise<Report> {
	const problems = reportRuleProblems(file, fileText);
	if (problems) {
		return problems;
	}

	const {text, base} = parseBaseHeader(fileText);
	const folded = await FoldedLog.load(requireLog(env));
	const report = await publishOnto(env, folded, {
		text, base: options.base ?? base ?? folded.tables.config.offset, wait: options.wait,
	});
	return withWarnings(report, findWarnings(text, folded.tables));
}
