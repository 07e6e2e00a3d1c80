import {spawn, type ChildProcess} from 'node:child_process';
import {mkdtempSync, rmSync, writeFileSync} from 'node:fs';
import {tmpdir} from 'node:os';
import {join} from 'node:path';
import process from 'node:process';
import {createInterface} from 'node:readline';
import {fileURLToPath} from 'node:url';
import type {ExecutionContext} from 'ava';

const script = fileURLToPath(new URL('../main.js', import.meta.url));
const readyPrefix = 'ready ';

/** An instance running in a process of its own. */
export type InstanceProcess = {
	/** Address for callers. */
	readonly addr: string;
	readonly child: ChildProcess;
	/** Resolves to the exit code. */
	readonly exited: Promise<number | null>;
};

/** Starts the daemon with the given settings text and options of Node.js; kills it at the end of the test. */
export async function startInstanceProcess(t: ExecutionContext, settings: string, nodeOptions: readonly string[] = []): Promise<InstanceProcess> {
	const folder = mkdtempSync(join(tmpdir(), 'bluebellyard-'));
	const file = join(folder, 'settings.ini');
	writeFileSync(file, settings);
	const child = spawn(process.execPath, [...nodeOptions, script, '--settings', file], {stdio: ['ignore', 'pipe', 'ignore']});
	const exited = new Promise<number | null>(resolve => {
		child.once('exit', resolve);
	});
	t.teardown(async () => {
		child.kill('SIGKILL');
		await exited;
		rmSync(folder, {recursive: true});
	});
	const line = await new Promise<string>(resolve => {
		createInterface({input: child.stdout}).once('line', resolve);
	});
	return {addr: line.slice(readyPrefix.length), child, exited};
}
