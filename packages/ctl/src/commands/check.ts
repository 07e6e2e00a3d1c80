/**
 * Checks a rules file without publishing it.
 */
import {createRecord, parseRules, RecordKind} from '@bluebellyard/core';
import {parseBaseHeader} from '../edit/index.js';
import type {CommandContext} from '../command-context.js';
import {FoldedLog} from '../platform/index.js';
import {
	ExitCode, createFailureReport, type Report, withWarnings,
} from '../report.js';
import {reportRuleProblems, findWarnings} from './publish.js';

/** Checks a rules file; when a log service is specified, also against the state of the log. */
export async function check(context: CommandContext, file: string, fileText: string): Promise<Report> {
	const problems = reportRuleProblems(file, fileText);
	if (problems) {
		return problems;
	}

	const {text} = parseBaseHeader(fileText);
	const {rules} = parseRules(text);
	const [pools, routes] = [rules?.pools.size ?? 0, rules?.routes.length ?? 0];
	const success: Report = {exit: ExitCode.Ok, lines: [`${file}: ok, ${pools} pools, ${routes} routes`], json: {pools, routes}};
	return context.log ? checkAgainst(await FoldedLog.load(context.log), file, text, success) : success;
}

/** Checks the text against the state of the log; `success` is the report when there is no problem. */
function checkAgainst(folded: FoldedLog, file: string, text: string, success: Report): Report {
	const {tables} = folded;
	const {accepted, reason, detail} = folded.tryRecord(createRecord({
		kind: RecordKind.Config, base: tables.config.offset, text,
	}, 'check', 'check'));
	return accepted
		? withWarnings(success, findWarnings(text, tables))
		: createFailureReport(ExitCode.Refused, [`${file}: ${reason}: ${detail ?? ''}`], {reason, detail});
}
