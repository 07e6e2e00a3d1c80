/**
 * Publishes a configuration, unless another one was published since the one it is based on.
 */
import type {LogService} from '@bluebellyard/coordination';
import {
	decodeRecord, formatProblem, findIneffectiveRules, createRecord, parseRules, RecordKind, RejectReason, type Tables, type Verdict,
} from '@bluebellyard/core';
import {diffLines, parseBaseHeader} from '../edit/index.js';
import {type CommandContext, requireLog} from '../command-context.js';
import {FoldedLog} from '../platform/index.js';
import {
	ExitCode, createFailureReport, type Report, withWarnings,
} from '../report.js';
import {publishRecord} from './publish-record.js';
import {findControlAddresses, waitUntilInForce} from './wait-until-in-force.js';

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
	return createFailureReport(ExitCode.Refused, [summary, 'the other edit:', ...diff], {
		conflict: true, base, config: offset, diff,
	});
}

function createRefusalReport(verdict: Verdict): Report {
	const detail = verdict.detail === undefined ? '' : `: ${verdict.detail}`;
	return createFailureReport(ExitCode.Refused, [`refused: ${verdict.reason}${detail}`], {reason: verdict.reason, detail: verdict.detail});
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

async function createAcceptedReport(context: CommandContext, folded: FoldedLog, offset: number, wait: boolean): Promise<Report> {
	const line = `accepted: configuration ${offset}`;
	if (!wait) {
		return {exit: ExitCode.Ok, lines: [line], json: {config: offset}};
	}

	const report = await waitUntilInForce(context, findControlAddresses(context, folded.tables), offset);
	return {...report, lines: [line, ...report.lines], json: {config: offset, ...report.json}};
}

/** Publishes a configuration on top of a state that was already loaded. */
export async function publishOnto(context: CommandContext, folded: FoldedLog, publication: Publication): Promise<Report> {
	const {text, base, wait} = publication;
	const log = requireLog(context);
	const current = folded.tables.config;
	if (current.offset !== base) {
		return createConflictReport(base, current.offset, diffLines(await readConfigText(log, base), current.text));
	}

	const record = createRecord({kind: RecordKind.Config, base, text}, context.createRecordId(), context.operator);
	const expected = folded.tryRecord(record);
	if (!expected.accepted) {
		return createRefusalReport(expected);
	}

	const {offset, verdict, previousConfig} = await publishRecord(context, log, folded, record);
	if (verdict.accepted) {
		return createAcceptedReport(context, folded, offset, wait);
	}

	return verdict.reason === RejectReason.StaleConfig
		? createConflictReport(base, previousConfig.offset, diffLines(current.text, previousConfig.text))
		: createRefusalReport(verdict);
}

/** Returns a report of the problems in a rules file; undefined when there are none. */
export function reportRuleProblems(file: string, text: string): Report | undefined {
	const {problems} = parseRules(text);
	if (problems.length === 0) {
		return undefined;
	}

	const lines = problems.map(problem => `${file}: ${formatProblem(problem)}`);
	return createFailureReport(ExitCode.BadInput, lines, {problems});
}

/** Returns a warning for each rule of a valid text that has no effect. */
export function findWarnings(text: string, tables: Tables): string[] {
	const {rules} = parseRules(text);
	const ineffective = rules ? findIneffectiveRules(rules, [...tables.targets.values()]) : [];
	return ineffective.map(problem => `warning: ${formatProblem(problem)}`);
}

/** Publishes a rules file. The base is `options.base`, or else the one in the header of the file, or else the configuration in force. */
export async function publish(context: CommandContext, file: string, fileText: string, options: {base?: number; wait: boolean}): Promise<Report> {
	const problems = reportRuleProblems(file, fileText);
	if (problems) {
		return problems;
	}

	const {text, base} = parseBaseHeader(fileText);
	const folded = await FoldedLog.load(requireLog(context));
	const report = await publishOnto(context, folded, {
		text, base: options.base ?? base ?? folded.tables.config.offset, wait: options.wait,
	});
	return withWarnings(report, findWarnings(text, folded.tables));
}
