/**
 * Shows the configuration in force.
 */
import {addBaseHeader} from '../edit/index.js';
import {type CommandContext, requireLog} from '../command-context.js';
import {FoldedLog} from '../platform/index.js';
import {ExitCode, type Report} from '../report.js';

/** The accepted text under a header with its offset, ready to be edited and published. */
export async function show(env: CommandContext): Promise<Report> {
	const {tables} = await FoldedLog.load(requireLog(env));
	const {offset, text} = tables.config;
	const body = addBaseHeader(text, offset);
	const lines = (body.endsWith('\n') ? body.slice(0, -1) : body).split('\n');
	return {exit: ExitCode.Ok, lines, json: {config: offset, text}};
}
