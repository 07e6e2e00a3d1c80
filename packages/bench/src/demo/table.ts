import {ResultClass, type LoadSummary} from '../load/index.js';

const titles: Readonly<Record<ResultClass, string>> = {
	[ResultClass.Ok]: 'complete answer',
	[ResultClass.NotRun]: 'refused, not run',
	[ResultClass.Unknown]: 'outcome unknown',
	[ResultClass.Wrong]: 'wrong answer',
	[ResultClass.Truncated]: 'truncated answer',
};

const headings = ['result', 'attempts', 'p50 ms', 'p99 ms', 'max ms', 'reasons'];

/** Formats the results that callers received as a table with one line per result class. */
export function formatTable({classes}: LoadSummary): string {
	const rows = Object.values(ResultClass).map(result => {
		const {latency, reasons} = classes[result];
		const times = [latency.p50, latency.p99, latency.max].map(ms => ms.toFixed(1));
		const knownReasons = Object.entries(reasons).filter(([reason]) => reason !== '');
		return [
			titles[result], String(latency.count), ...times, knownReasons.map(([reason, count]) => `${reason} ${count}`).join(', '),
		];
	});
	return alignColumns([headings, ...rows]);
}

function alignColumns(rows: readonly string[][]): string {
	const widths = headings.map((_, column) => Math.max(...rows.map(row => row[column].length)));
	return rows
		.map(row => row.map((cell, column) => cell.padEnd(widths[column])).join('  ').trimEnd())
		.join('\n');
}
