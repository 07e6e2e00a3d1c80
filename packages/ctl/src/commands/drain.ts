/**
 * Takes a failure domain or target out of service, and returns it to service.
 */
import {
	addRule, hasRule, removeRule, type Tables,
} from '@bluebellyard/core';
import {type CommandContext, requireLog} from '../command-context.js';
import {FoldedLog} from '../platform/index.js';
import {ExitCode, createFailureReport, type Report} from '../report.js';
import {publishOnto} from './publish.js';

/** Kinds of subjects that can be drained. */
export enum DrainKind {
	Domain = 'domain',
	Target = 'target',
}

/** Failure domain or target to drain or to return to service. */
export type DrainSubject = {
	readonly kind: DrainKind;
	readonly name: string;
	/** Whether to wait until the change is in force everywhere. */
	readonly wait: boolean;
};

function listKnownNames(tables: Tables, kind: DrainKind): Set<string> {
	const targets = [...tables.targets.values()];
	return new Set(targets.map(target => kind === DrainKind.Domain ? target.domain : target.name));
}

function formatRule({kind, name}: DrainSubject): string {
	return `out ${kind} ${name}`;
}

function createUnchangedReport(line: string, offset: number): Report {
	return {exit: ExitCode.Ok, lines: [`${line}; nothing was published`], json: {config: offset, changed: false}};
}

/** Publishes the configuration in force plus a rule that takes the subject out of service. `who` requested it. */
export async function drain(context: CommandContext, subject: DrainSubject, who: string): Promise<Report> {
	const {kind, name, wait} = subject;
	const folded = await FoldedLog.load(requireLog(context));
	const {config} = folded.tables;
	if (hasRule(config.text, formatRule(subject))) {
		return createUnchangedReport(`${kind} ${name} is already out`, config.offset);
	}

	const known = listKnownNames(folded.tables, kind);
	if (!known.has(name)) {
		const names = [...known].toSorted().join(', ') || 'none is known';
		return createFailureReport(ExitCode.BadInput, [`unknown ${kind} ${name}; expected one of: ${names}`]);
	}

	const text = addRule(config.text, `${formatRule(subject)}  # ${who}`);
	return publishOnto(context, folded, {text, base: config.offset, wait});
}

/** Publishes the configuration in force without the rule that takes the subject out of service. */
export async function returnToService(context: CommandContext, subject: DrainSubject): Promise<Report> {
	const folded = await FoldedLog.load(requireLog(context));
	const {config} = folded.tables;
	if (!hasRule(config.text, formatRule(subject))) {
		return createUnchangedReport(`${subject.kind} ${subject.name} is not out`, config.offset);
	}

	const text = removeRule(config.text, formatRule(subject));
	return publishOnto(context, folded, {text, base: config.offset, wait: subject.wait});
}
