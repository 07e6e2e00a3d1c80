/**
 * The header line by which a rules file remembers the configuration it was made from.
 */
import {parseWholeNumber} from '@bluebellyard/core';
import {CtlError} from '../ctl-error.js';
import {ExitCode} from '../report.js';

const header = '# base:';

/** A rules file without its header. */
export type BasedText = {
	/** Offset of the configuration that the operator saw; undefined without a header. */
	readonly base?: number;
	readonly text: string;
};

/** Puts the header before a text. */
export function addBaseHeader(text: string, base: number): string {
	return `${header} ${base}\n${text}`;
}

/** Splits the header from a text. Throws `CtlError` when the header is malformed. */
export function parseBaseHeader(text: string): BasedText {
	const lines = text.split('\n');
	const index = lines.findIndex(line => line.startsWith(header));
	if (index === -1) {
		return {text};
	}

	const base = parseWholeNumber(lines[index].slice(header.length).trim());
	if (base === undefined) {
		throw new CtlError(ExitCode.BadInput, `line ${index + 1}: malformed header; expected ${header} N`);
	}

	return {base, text: lines.toSpliced(index, 1).join('\n')};
}
