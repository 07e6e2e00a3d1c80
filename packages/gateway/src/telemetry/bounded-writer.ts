import SonicBoom from 'sonic-boom';

/** Size of the buffer for a slow reader of standard output, in bytes. */
const maxBufferedBytes = 256 * 1024;

/** File descriptor of standard output. */
const standardOutputFd = 1;

/** Longest time for which lines are kept to be written together, in milliseconds. A write of its own for each line wakes a thread and costs more than the line. */
const batchMs = 50;

/** Length of the kept lines at which they are written at once, in characters. */
const maxBatchLength = 16 * 1024;

/** Writes lines in batches to standard output without blocking on its reader. Drops lines while the buffer is full. */
export class BoundedWriter {
	private readonly stream: SonicBoom.SonicBoom;
	private droppedLines = 0;
	private lines: string[] = [];
	private batchLength = 0;
	private timer: NodeJS.Timeout | undefined;

	constructor(fd: number = standardOutputFd) {
		this.stream = new SonicBoom.SonicBoom({
			fd, sync: false, maxLength: maxBufferedBytes, minLength: 0,
		});
		this.stream.on('drop', (batch: string) => {
			this.droppedLines += batch.split('\n').length - 1;
		});
		this.stream.on('error', () => {
			this.droppedLines += 1;
		});
	}

	/** Number of lines dropped so far. */
	get dropped(): number {
		return this.droppedLines;
	}

	/** Writes a line, at the latest after `batchMs`. */
	write(line: string): void {
		this.lines.push(line);
		this.batchLength += line.length;
		if (this.batchLength >= maxBatchLength) {
			this.flush();
		} else {
			this.timer ??= setTimeout(() => {
				this.flush();
			}, batchMs);
		}
	}

	/** Writes the kept lines and closes. May be called as the process exits, which waits for writes that have begun. */
	end(): void {
		this.flush();
		this.stream.end();
	}

	private flush(): void {
		clearTimeout(this.timer);
		this.timer = undefined;
		if (this.lines.length === 0) {
			return;
		}

		const batch = this.lines.join('\n') + '\n';
		this.lines = [];
		this.batchLength = 0;
		this.stream.write(batch);
	}
}
