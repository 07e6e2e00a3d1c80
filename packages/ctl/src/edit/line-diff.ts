/**
 * Shows which rules two texts do not share.
 */

function missingIn(lines: readonly string[], others: readonly string[]): string[] {
	const left = new Map<string, number>();
	for (const line of others) {
		left.set(line, (left.get(line) ?? 0) + 1);
	}

	return lines.filter(line => {
		const count = left.get(line) ?? 0;
		left.set(line, count - 1);
		return count <= 0 && line.trim() !== '';
	});
}

/** Lines of `before` that are gone, after `- `, and new lines of `after`, after `+ `. Order is not compared. */
export function diffLines(before: string, after: string): string[] {
	const [old, current] = [before.split('\n'), after.split('\n')];
	return [
		...missingIn(old, current).map(line => `- ${line}`),
		...missingIn(current, old).map(line => `+ ${line}`),
	];
}
