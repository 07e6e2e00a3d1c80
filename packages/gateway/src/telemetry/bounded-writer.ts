import SonicBoom from 'sonic-boom';

/** Bytes of log lines that may wait for a slow reader of standard output. */
const maxWaitingBytes = 256 * 1024;

/** File descriptor of standard output. */
const standardOutput = 1;

/** Writes lines to standard output without ever waiting for its reader; drops lines when too many wait. */
export class BoundedWriter {
	private readonly stream: SonicBoom.SonicBoom;
	private droppedLines = 0;

	constructor(fd: number = standardOutput) {
		this.stream = new SonicBoom.SonicBoom({
			fd, sync: false, maxLength: maxWaitingBytes, minLength: 0,
		});
		this.stream.on('drop', () => {
			this.droppedLines += 1;
		});
		this.stream.on('error', () => {
			this.droppedLines += 1;
		});
	}

	/** Lines lost so far. */
	get dropped(): number {
		return this.droppedLines;
	}

	/** Writes one line. */
	write(line: string): void {
		this.stream.write(line + '\n');
	}

	/** Writes what waits and closes. */
	end(): void {
		this.stream.end();
	}
}
