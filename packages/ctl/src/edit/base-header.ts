/**
 * Header line of a rules file that names the configuration on which the file is based.
 */
import {parseWholeNumber} from '@bluebellyard/core';
import {CtlError} from '../ctl-error.js';
import {ExitCode} from '../report.js';

const header = '# base:';

/** Content of a rules file, split into its header and the rest. */
export type BasedText = {
	/** Offset of the configuration that the operator edited; undefined without a header. */
	readonly base?: number;
	readonly text: string;
};

/** Prepends the header to a text. */
export function addBaseHeader(text: string, base: number): string {
	return `${header} ${base}\n${text}`;
}

/** Separates the header, on whichever line it is, from a text. Throws `CtlError` when the header is malformed. */
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
