import {Buffer} from 'node:buffer';
import {writeSync} from 'node:fs';
import SonicBoom from 'sonic-boom';
import {sleep} from '../net/index.js';

/** Length of the lines that are kept for a slow reader of standard output, in characters. */
const maxKeptLength = 256 * 1024;

/** Size of what the stream holds after errors, in bytes; fits a batch of all kept lines. */
const maxUnwrittenBytes = 4 * maxKeptLength;

/** File descriptor of standard output. */
const standardOutputFd = 1;

/** Longest time for which lines are kept to be written together, in milliseconds. A write of its own for each line wakes a thread and costs more than the line. */
const batchMs = 50;

/** Length of the kept lines at which they are written at once, in characters. */
const maxBatchLength = 16 * 1024;

/** Wait for a batch that is being written, and before a further attempt to write to a full pipe, as the process exits, in milliseconds. */
const exitWaitMs = 10;

/** Largest number of waits for a full pipe. */
const maxExitWaits = 100;

/** Writes lines in batches to standard output without blocking on its reader. Drops lines while too many are kept. */
export class BoundedWriter {
	private readonly fd: number;
	private readonly stream: SonicBoom.SonicBoom;
	private droppedLines = 0;
	/** Lines that are not handed to the stream, which has one batch at a time: what it holds is lost if the process exits. */
	private lines: string[] = [];
	private keptLength = 0;
	private isWriting = false;
	private timer: NodeJS.Timeout | undefined;
	private closed: Promise<void> | undefined;
	private onIdle: (() => void) | undefined;

	constructor(fd: number = standardOutputFd) {
		this.fd = fd;
		this.stream = new SonicBoom.SonicBoom({
			fd, sync: false, maxLength: maxUnwrittenBytes, minLength: 0,
		});
		this.stream.on('drop', (batch: string) => {
			this.droppedLines += batch.split('\n').length - 1;
			this.recordIdle();
		});
		this.stream.on('error', () => {
			this.droppedLines += 1;
			this.recordIdle();
		});
		this.stream.on('drain', () => {
			this.recordIdle();
		});
	}

	/** Number of lines dropped so far. */
	get dropped(): number {
		return this.droppedLines;
	}

	/** Writes a line, at the latest after `batchMs` unless the reader is slow. */
	write(line: string): void {
		if (this.keptLength + line.length >= maxKeptLength) {
			this.droppedLines += 1;
			return;
		}

		this.lines.push(line);
		this.keptLength += line.length + 1;
		this.schedule();
	}

	/** Writes the kept lines. Resolves when they are written or can't be, at the latest after `timeoutMs`. */
	async close(timeoutMs: number): Promise<void> {
		this.closed ??= Promise.race([this.writeAll(), sleep(timeoutMs)]);
		return this.closed;
	}

	/** Writes the kept lines and closes. */
	end(): void {
		const batch = this.takeLines();
		if (batch !== '') {
			this.stream.write(batch);
		}

		this.stream.end();
	}

	/** Writes the kept lines as the process exits, and waits for a reader that is slow. Writes nothing after `close`, which has waited. */
	writeAtExit(): void {
		if (this.closed !== undefined) {
			return;
		}

		if (this.isWriting) {
			// The stream would begin to write the kept lines only after the process has exited. Its present batch comes first.
			wait(exitWaitMs);
		}

		this.writeNow(Buffer.from(this.takeLines()));
	}

	private writeNow(bytes: Buffer): void {
		let written = 0;
		for (let waits = 0; written < bytes.length && waits <= maxExitWaits;) {
			try {
				written += writeSync(this.fd, bytes, written);
			} catch (err) {
				if ((err as NodeJS.ErrnoException).code !== 'EAGAIN') {
					return;
				}

				waits += 1;
				wait(exitWaitMs);
			}
		}
	}

	private async writeAll(): Promise<void> {
		this.flush();
		return new Promise(resolve => {
			this.onIdle = resolve;
			this.notifyIfIdle();
		});
	}

	private schedule(): void {
		if (this.isWriting) {
			return;
		}

		if (this.keptLength >= maxBatchLength) {
			this.flush();
		} else {
			this.timer ??= setTimeout(() => {
				this.flush();
			}, batchMs);
		}
	}

	private flush(): void {
		if (this.isWriting || this.lines.length === 0) {
			return;
		}

		this.isWriting = true;
		this.stream.write(this.takeLines());
	}

	/** Returns the kept lines as one batch, and keeps them no longer. */
	private takeLines(): string {
		clearTimeout(this.timer);
		this.timer = undefined;
		const batch = this.lines.length === 0 ? '' : this.lines.join('\n') + '\n';
		this.lines = [];
		this.keptLength = 0;
		return batch;
	}

	private recordIdle(): void {
		this.isWriting = false;
		if (this.onIdle !== undefined) {
			this.flush();
		} else if (this.lines.length > 0) {
			this.schedule();
		}

		this.notifyIfIdle();
	}

	private notifyIfIdle(): void {
		if (!this.isWriting) {
			this.onIdle?.();
		}
	}
}

/** Blocks the process for a time in milliseconds. */
function wait(ms: number): void {
	Atomics.wait(new Int32Array(new SharedArrayBuffer(4)), 0, 0, ms);
}
