/**
 * The lines that tell why requests were cut are the last ones of a process: guards against lines that are lost because
 * the process exits while an earlier batch is being written, and against a reader that ends the process.
 */
import {spawn, type ChildProcess} from 'node:child_process';
import {once} from 'node:events';
import process from 'node:process';
import {setTimeout as sleep} from 'node:timers/promises';
import {fileURLToPath} from 'node:url';
import test, {type ExecutionContext} from 'ava';

const program = fileURLToPath(new URL('../mocks/log-writer.js', import.meta.url));

/** Starts a program that writes batches and ends as the first argument says. */
function start(t: ExecutionContext, how: 'exit' | 'close', batches: number): ChildProcess {
	const child = spawn(process.execPath, [program, how, String(batches)], {stdio: ['ignore', 'pipe', 'inherit']});
	t.teardown(() => {
		child.kill('SIGKILL');
	});
	return child;
}

/** Resolves to the output of a program at its end, read in chunks with a delay after each. */
async function readOutput(child: ChildProcess, delayMs = 0): Promise<string> {
	let output = '';
	for await (const chunk of child.stdout!) {
		output += String(chunk);
		await sleep(delayMs);
	}

	return output;
}

function countLines(output: string): number {
	return output.split('\n').length - 1;
}

for (const how of ['exit', 'close'] as const) {
	test(`the last line before ${how} is written while an earlier batch is being written`, async t => {
		const output = await readOutput(start(t, how, 1));
		t.is(countLines(output), 2);
		t.true(output.includes('the last line'));
	});

	test(`a closed reader does not change the exit code of ${how}`, async t => {
		const child = start(t, how, 12);
		child.stdout?.destroy();
		const [code] = await once(child, 'exit') as [number | null];
		t.is(code, 0);
	});
}

test('all lines before close reach a reader that is slow', async t => {
	const output = await readOutput(start(t, 'close', 12), 100);
	t.is(countLines(output), 13);
	t.true(output.endsWith('\nthe last line\n'));
});

test('the last line before exit reaches a reader that is slow', async t => {
	const output = await readOutput(start(t, 'exit', 12), 100);
	t.true(output.includes('the last line\n'));
});
