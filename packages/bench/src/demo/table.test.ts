import test from 'ava';
import {ResultClass, summarize} from '../load/index.js';
import {formatTable} from './table.js';

test('the table has one line per result class', t => {
	const attempt = {
		result: ResultClass.NotRun, reason: 'queue-full', target: '', scheduledAt: 0, endedAt: 2,
	};
	const view = {
		id: 'r', line: 'GET /', key: 'k', isOnce: false, attempts: [attempt, attempt],
	};
	const lines = formatTable(summarize([view])).split('\n');
	t.is(lines.length, 6);
	const cells = lines[2].split('  ').map(cell => cell.trim()).filter(cell => cell !== '');
	t.deepEqual(cells, ['refused, not run', '2', '2.0', '2.0', '2.0', 'queue-full 2']);
});
