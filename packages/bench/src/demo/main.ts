import process from 'node:process';
import {exitOnSignals} from '../deployment/index.js';
import {runDemo} from './run-demo.js';
import {formatTable} from './table.js';

const minRequests = 1000;
const maxShownViolations = 10;

exitOnSignals();

const print = (line: string): void => {
	console.log(line);
};

const {summary, report} = await runDemo(print);
print('');
print(formatTable(summary));
print('');
print(`${summary.requests} requests in ${summary.attempts} attempts; the targets started ${report.startedOrders} orders.`);
if (report.violations.length === 0) {
	print('The ledgers of the targets match the results that callers received.');
}

for (const {kind, detail} of report.violations.slice(0, maxShownViolations)) {
	print(`VIOLATION ${kind}: ${detail}`);
}

const isPassed = report.violations.length === 0 && summary.requests >= minRequests;
process.exitCode = isPassed ? 0 : 1;
