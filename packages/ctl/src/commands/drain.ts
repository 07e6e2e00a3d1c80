/**
 * Takes a failure domain or target out of service, and back.
 */
import {
	addRule, hasRule, removeRule, type Tables,
} from '@bluebellyard/core';
import {type CommandContext, requireLog} from '../command-context.js';
import {FoldedLog} from '../platform/index.js';
import {ExitCode, createFailureReport, type Report} from '../report.js';
import {publishOnto} from './publish.js';

/** What is taken out. */
export enum DrainKind {
	Domain = 'domain',
	Target = 'target',
}

/** One failure domain or target. */
export type DrainSubject = {
	readonly kind: DrainKind;
	readonly name: string;
	/** Whether to wait until the change is in force everywhere. */
	readonly wait: boolean;
};

function knownNames(tables: Tables, kind: DrainKind): Set<string> {
	const targets = [...tables.targets.values()];
	return new Set(targets.map(target => kind === DrainKind.Domain ? target.domain : target.name));
}

function ruleFor({kind, name}: DrainSubject): string {
	return `out ${kind} ${name}`;
}

function nothingToDo(line: string, offset: number): Report {
	return {exit: ExitCode.Ok, lines: [`${line}; nothing was published`], json: {config: offset, changed: false}};
}

/** Publishes the configuration in force with the subject out. `who` asked for it. */
export async function drain(env: CommandContext, subject: DrainSubject, who: string): Promise<Report> {
	const {kind, name, wait} = subject;
	const folded = await FoldedLog.load(requireLog(env));
	const {config} = folded.tables;
	if (hasRule(config.text, ruleFor(subject))) {
		return nothingToDo(`${kind} ${name} is already out`, config.offset);
	}

	const known = knownNames(folded.tables, kind);
	if (!known.has(name)) {
		const names = [...known].toSorted().join(', ') || 'none is known';
		return createFailureReport(ExitCode.BadInput, [`unknown ${kind} ${name}; expected one of: ${names}`]);
	}

	const text = addRule(config.text, `${ruleFor(subject)}  # ${who}`);
	return publishOnto(env, folded, {text, base: config.offset, wait});
}

/** Publishes the configuration in force without the rule that keeps the subject out. */
export async function returnToService(env: CommandContext, subject: DrainSubject): Promise<Report> {
	const folded = await FoldedLog.load(requireLog(env));
	const {config} = folded.tables;
	if (!hasRule(config.text, ruleFor(subject))) {
		return nothingToDo(`${subject.kind} ${subject.name} is not out`, config.offset);
	}

	const text = removeRule(config.text, ruleFor(subject));
	return publishOnto(env, folded, {text, base: config.offset, wait: subject.wait});
}
