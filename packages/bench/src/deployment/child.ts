import {spawn, type ChildProcess} from 'node:child_process';
import {once} from 'node:events';
import {createWriteStream, openSync} from 'node:fs';
import process from 'node:process';
import {createInterface} from 'node:readline';
import {setTimeout as sleep} from 'node:timers/promises';
import {machineClock} from '@bluebellyard/standins';

const running = new Set<ChildProcess>();

process.on('exit', () => {
	for (const child of running) {
		child.kill('SIGKILL');
	}
});

const readyPrefix = 'ready ';
const readyTimeoutMs = 10_000;
const stopTimeoutMs = 10_000;
const keptOutputBytes = 4096;

/** A child process of a deployment. */
export class Child {
	readonly name: string;
	/** Address that the process printed when it became ready. */
	addr = '';
	/** Time of `kill` by the machine-wide clock, in milliseconds; undefined if it was not killed. */
	killedAt: number | undefined;
	private readonly process: ChildProcess;
	/** Resolves when the process has exited and all that it wrote has been read; 'exit' may come before that. */
	private readonly closed: Promise<unknown>;
	private output = '';

	/** Appends what the process writes to `logFile` if one is given. */
	constructor(name: string, script: string, args: readonly string[], logFile?: string) {
		this.name = name;
		this.process = spawn(process.execPath, [script, ...args], {stdio: ['ignore', 'pipe', 'pipe']});
		running.add(this.process);
		this.closed = once(this.process, 'close').then(() => running.delete(this.process));
		this.process.stderr!.on('data', (chunk: Uint8Array) => {
			const text = new TextDecoder().decode(chunk);
			this.output = (this.output + text).slice(-keptOutputBytes);
		});
		if (logFile !== undefined) {
			this.copyOutput(logFile);
		}
	}

	/** Process id. */
	get pid(): number {
		return this.process.pid!;
	}

	/** Whether the process is running. */
	get isRunning(): boolean {
		return this.process.exitCode === null && this.process.signalCode === null;
	}

	/** Last part of the standard error output. */
	get lastOutput(): string {
		return this.output;
	}

	/** Kills the process with SIGKILL and waits until it has exited. */
	async kill(): Promise<void> {
		this.process.kill('SIGKILL');
		this.killedAt = machineClock.now();
		await this.closed;
	}

	/** Suspends the process until `resume`. */
	pause(): void {
		this.process.kill('SIGSTOP');
	}

	/** Resumes the process. */
	resume(): void {
		this.process.kill('SIGCONT');
	}

	/** Sends SIGTERM, and kills the process if it does not exit in time. Returns its exit code, or null if a signal ended it. */
	async terminate(): Promise<number | null> {
		if (this.isRunning) {
			this.resume();
			this.process.kill('SIGTERM');
			const ctl = new AbortController();
			await Promise.race([this.closed, sleep(stopTimeoutMs, undefined, {signal: ctl.signal}).catch(() => undefined)]);
			ctl.abort();
		}

		if (this.isRunning) {
			await this.kill();
		}

		return this.process.exitCode;
	}

	/** Resolves when the process prints that it is ready. Otherwise kills it and throws an error with the last output. */
	async waitForReady(): Promise<void> {
		const lines = createInterface({input: this.process.stdout!});
		const ready = new Promise<void>(resolve => {
			lines.on('line', line => {
				if (line.startsWith(readyPrefix)) {
					this.addr = line.slice(readyPrefix.length);
					resolve();
				}
			});
		});
		const ctl = new AbortController();
		const timeout = sleep(readyTimeoutMs, undefined, {signal: ctl.signal}).catch(() => undefined);
		await Promise.race([ready, this.closed, timeout]);
		ctl.abort();
		if (this.addr === '') {
			await this.kill();
			throw new Error(`${this.name} did not become ready: ${this.output}`);
		}
	}

	private copyOutput(logFile: string): void {
		const log = createWriteStream(logFile, {fd: openSync(logFile, 'a')});
		this.process.stdout!.pipe(log, {end: false});
		this.process.stderr!.pipe(log, {end: false});
		this.process.once('close', () => {
			log.end();
		});
	}
}

/**
 * Starts a script of this repository as a child process. Resolves when it prints that it is ready.
 * Appends what the process writes to `logFile` if one is given.
 */
export async function startChild(name: string, script: string, args: readonly string[], logFile?: string): Promise<Child> {
	const child = new Child(name, script, args, logFile);
	await child.waitForReady();
	return child;
}

/** Exits on SIGINT and SIGTERM; the exit handler kills all child processes. */
export function exitOnSignals(): void {
	for (const signal of ['SIGINT', 'SIGTERM'] as const) {
		process.once(signal, () => {
			process.exit(1);
		});
	}
}
