import process from 'node:process';
import {exitOnSignals} from '../deployment/index.js';
import {runDemo} from './run-demo.js';
import {formatTable} from './table.js';

const leastRequests = 1000;
const mostShown = 10;

exitOnSignals();

const say = (line: string): void => {
	console.log(line);
};

const {summary, report} = await runDemo(say);
say('');
say(formatTable(summary));
say('');
say(`${summary.requests} requests in ${summary.attempts} attempts; the targets began ${report.startedOrders} orders.`);
if (report.violations.length === 0) {
	say('The ledgers of the targets agree with what callers were told.');
}

for (const {kind, detail} of report.violations.slice(0, mostShown)) {
	say(`VIOLATION ${kind}: ${detail}`);
}

const isGood = report.violations.length === 0 && summary.requests >= leastRequests;
process.exitCode = isGood ? 0 : 1;
