/** Lines of a table whose columns are as wide as their widest cell. */
export function formatTable(head: readonly string[], rows: ReadonlyArray<readonly string[]>): string[] {
	const all = [head, ...rows];
	const widths = head.map((_, i) => Math.max(...all.map(row => row[i].length)));
	return all.map(row => row.map((cell, i) => cell.padEnd(widths[i])).join('  ').trimEnd());
}
