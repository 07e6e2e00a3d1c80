/**
 * Checks a rules file without publishing it.
 */
import {makeRecord, parseRules, RecordKind} from '@bluebellyard/core';
import {parseBaseHeader} from '../edit/index.js';
import type {CommandContext} from '../command-context.js';
import {FoldedLog} from '../platform/index.js';
import {
	ExitCode, createFailureReport, type Report, withWarnings,
} from '../report.js';
import {reportRuleProblems, findWarnings} from './publish.js';

/** Checks a rules file, also against the targets in the log when one is named. */
export async function check(env: CommandContext, file: string, fileText: string): Promise<Report> {
	const problems = reportRuleProblems(file, fileText);
	if (problems) {
		return problems;
	}

	const {text} = parseBaseHeader(fileText);
	const {rules} = parseRules(text);
	const [pools, routes] = [rules?.pools.size ?? 0, rules?.routes.length ?? 0];
	const good: Report = {exit: ExitCode.Ok, lines: [`${file}: ok, ${pools} pools, ${routes} routes`], json: {pools, routes}};
	return env.log ? checkAgainst(await FoldedLog.load(env.log), file, text, good) : good;
}

/** Tries the text on the state of the log; `good` is the report when nothing is wrong. */
function checkAgainst(folded: FoldedLog, file: string, text: string, good: Report): Report {
	const {tables} = folded;
	const {accepted, reason, detail} = folded.tryRecord(makeRecord({
		kind: RecordKind.Config, base: tables.config.offset, text,
	}, 'check', 'check'));
	return accepted
		? withWarnings(good, findWarnings(text, tables))
		: createFailureReport(ExitCode.Refused, [`${file}: ${reason}: ${detail ?? ''}`], {reason, detail});
}
