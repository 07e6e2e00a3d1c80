import {spawn, type ChildProcessWithoutNullStreams} from 'node:child_process';
import {once} from 'node:events';
import process from 'node:process';
import {createInterface} from 'node:readline';
import {fileURLToPath} from 'node:url';
import test from 'ava';
import {call} from './host/index.js';

const main = fileURLToPath(new URL('main.js', import.meta.url));

async function readReadyAddr(child: ChildProcessWithoutNullStreams): Promise<string> {
	const lines = createInterface({input: child.stdout});
	const line = await new Promise<string>(resolve => {
		lines.once('line', resolve);
	});
	return line.slice('ready '.length);
}

const cases = [
	{args: ['log', '--max-records', '5'], path: '/stats'},
	{args: ['membership', '--lag-ms', '5'], path: '/members'},
	{args: ['target', '--no-fences', '--kind', 'shared', '--service-ms', '0'], path: '/control/health'},
];

for (const {args, path} of cases) {
	test(`the command runs ${args[0]} until SIGTERM`, async t => {
		const child = spawn(process.execPath, [main, ...args, '--addr', '127.0.0.1:0']);
		const exit = once(child, 'exit');
		const addr = await readReadyAddr(child);
		const answer = await call(addr, path);
		t.is(answer.status, 200);
		child.kill('SIGTERM');
		t.deepEqual(await exit, [0, null]);
	});
}
