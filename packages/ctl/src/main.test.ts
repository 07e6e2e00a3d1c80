import {spawn} from 'node:child_process';
import {once} from 'node:events';
import process from 'node:process';
import {text} from 'node:stream/consumers';
import {FakeLog, FakeLogServer} from '@bluebellyard/coordination/mocks';
import test from 'ava';

const main = new URL('main.js', import.meta.url).pathname;
const rules = new URL('../../../examples/homero/rules.txt', import.meta.url).pathname;

async function run(...argv: readonly string[]) {
	const child = spawn(process.execPath, [main, ...argv], {stdio: ['ignore', 'pipe', 'pipe']});
	const [stdout, stderr] = await Promise.all([text(child.stdout), text(child.stderr), once(child, 'close')]);
	return {exit: child.exitCode, stdout, stderr};
}

test('a separate process publishes and reports a conflict', async t => {
	const server = new FakeLogServer(new FakeLog());
	const origin = await server.start();
	try {
		const published = await run('publish', rules, '--log', origin);
		t.deepEqual(published, {exit: 0, stdout: 'accepted: configuration 1\n', stderr: ''});
		const again = await run('publish', rules, '--log', origin, '--base', '0', '--json');
		t.is(again.exit, 1);
		t.like(JSON.parse(again.stdout), {conflict: true, config: 1});
	} finally {
		await server.stop();
	}
});

const runs: ReadonlyArray<readonly [argv: readonly string[], exit: number]> = [
	[['--version'], 0],
	[['check', '/nowhere/f'], 2],
	[['show'], 2],
	[['show', '--settings', rules], 2],
	[['show', '--log', 'http://127.0.0.1:1'], 3],
];

for (const [argv, exit] of runs) {
	test(`exit code of: ${argv.slice(0, 2).join(' ')}`, async t => {
		const result = await run(...argv);
		t.is(result.exit, exit);
	});
}
