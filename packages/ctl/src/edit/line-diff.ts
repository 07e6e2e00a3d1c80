/**
 * Compares two texts by their lines.
 */

function findMissingLines(lines: readonly string[], others: readonly string[]): string[] {
	const remaining = new Map<string, number>();
	for (const line of others) {
		remaining.set(line, (remaining.get(line) ?? 0) + 1);
	}

	return lines.filter(line => {
		const count = remaining.get(line) ?? 0;
		remaining.set(line, count - 1);
		return count <= 0 && line.trim() !== '';
	});
}

/**
 * Returns the lines that only `before` has, prefixed with `- `, and those that only `after` has, prefixed with `+ `.
 * Ignores the order of lines and blank lines.
 */
export function diffLines(before: string, after: string): string[] {
	const [old, current] = [before.split('\n'), after.split('\n')];
	return [
		...findMissingLines(old, current).map(line => `- ${line}`),
		...findMissingLines(current, old).map(line => `+ ${line}`),
	];
}
