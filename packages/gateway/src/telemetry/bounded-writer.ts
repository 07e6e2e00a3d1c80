import SonicBoom from 'sonic-boom';

/** Size of the buffer for a slow reader of standard output, in bytes. */
const maxBufferedBytes = 256 * 1024;

/** File descriptor of standard output. */
const standardOutputFd = 1;

/** Writes lines to standard output without blocking on its reader. Drops lines while the buffer is full. */
export class BoundedWriter {
	private readonly stream: SonicBoom.SonicBoom;
	private droppedLines = 0;

	constructor(fd: number = standardOutputFd) {
		this.stream = new SonicBoom.SonicBoom({
			fd, sync: false, maxLength: maxBufferedBytes, minLength: 0,
		});
		this.stream.on('drop', () => {
			this.droppedLines += 1;
		});
		this.stream.on('error', () => {
			this.droppedLines += 1;
		});
	}

	/** Number of lines dropped so far. */
	get dropped(): number {
		return this.droppedLines;
	}

	write(line: string): void {
		this.stream.write(line + '\n');
	}

	/** Writes the buffered lines and closes. */
	end(): void {
		this.stream.end();
	}
}
