import {execFileSync} from 'node:child_process';
import process from 'node:process';
import {fileURLToPath} from 'node:url';
import test from 'ava';

const example = fileURLToPath(new URL('../../example/lease-and-fold.mjs', import.meta.url));

test('the example of the README runs', t => {
	const stdout = execFileSync(process.execPath, [example], {encoding: 'utf8'});
	t.deepEqual(stdout.trim().split('\n'), [
		'claims: accepted, rejected',
		'owner may act: true',
		'job may move: false',
		'new fence admitted: true',
		'old fence admitted: false',
	]);
});
