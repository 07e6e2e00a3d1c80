/** Formats a table as lines; each column is as wide as its widest cell. */
export function formatTable(header: readonly string[], rows: ReadonlyArray<readonly string[]>): string[] {
	const lines = [header, ...rows];
	const widths = header.map((_, i) => Math.max(...lines.map(row => row[i].length)));
	return lines.map(row => row.map((cell, i) => cell.padEnd(widths[i])).join('  ').trimEnd());
}
