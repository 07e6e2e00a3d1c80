import test from 'ava';
import {readTap} from './tap.mjs';

const sample = `TAP version 13
ok 1 - skipped # SKIP
# before hook
#   in before
ok 2 - logs
#   hello
not ok 3 - differs # 2
#   ctx
  ---
    name: AssertionError
    message: |-
      not ok 4 - a message, no result
  ...
not ok 4 - a.test.js exited with a non-zero exit code: 1

1..3
# tests 3
# pass 2
# fail 2
`;

async function read(text) {
	const results = [];
	for await (const result of readTap(text.split('\n'))) {
		results.push(result);
	}

	return results;
}

test('each result has its title and its verdict', async t => {
	const results = await read(sample);
	t.deepEqual(results.map(({title, isOk}) => [title, isOk]), [
		['skipped # SKIP', true],
		['logs', true],
		['differs # 2', false],
		['a.test.js exited with a non-zero exit code: 1', false],
	]);
});

test('a failure carries its logs and its whole diagnostic block', async t => {
	const results = await read(sample);
	t.is(results[2].lines.join('\n'), sample.slice(sample.indexOf('not ok 3'), sample.indexOf('not ok 4 - a.test')).trimEnd());
});

test('the totals belong to no result', async t => {
	const results = await read(sample);
	t.false(results.flatMap(({lines}) => lines).some(line => line.includes('# pass')));
});

test('a stream that breaks off keeps its last result', async t => {
	const results = await read('not ok 1 - x\n  ---\n    message: half');
	t.deepEqual(results, [{title: 'x', isOk: false, lines: ['not ok 1 - x', '  ---', '    message: half']}]);
});
