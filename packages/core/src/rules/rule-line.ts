/**
 * Splits one line of a rules file into its words and its comment.
 */

/** The words of a rule and the comment after it. */
export type RuleLine = {
	readonly words: readonly string[];
	/** Text after the first `#`, trimmed; undefined without a comment. */
	readonly who?: string;
};

const byteOrderMark = '\uFEFF';

/** Lines of a text without their line ends. */
export function splitLines(text: string): string[] {
	const body = text.startsWith(byteOrderMark) ? text.slice(1) : text;
	return body.split('\n').map(line => line.endsWith('\r') ? line.slice(0, -1) : line);
}

/** The rule on a line; undefined for a blank line or a whole-line comment. */
export function parseRuleLine(line: string): RuleLine | undefined {
	const hash = line.indexOf('#');
	const rule = hash === -1 ? line : line.slice(0, hash);
	const words = rule.replaceAll('\t', ' ').split(' ').filter(word => word !== '');
	if (words.length === 0) {
		return undefined;
	}

	return hash === -1 ? {words} : {words, who: line.slice(hash + 1).trim()};
}
