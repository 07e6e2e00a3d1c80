import {Buffer} from 'node:buffer';

/** Size of the blocks into which small chunks are copied, in bytes. */
const blockBytes = 16_384;

/** Size in bytes from which a chunk that does not fit into the present block is kept as it is; its object takes far less than its bytes. */
const minKeptBytes = 2048;

/**
 * Collects the chunks of a body. What it takes in memory is proportional to the bytes, however small the chunks are: a
 * sender chooses their size, and an object for each chunk takes over a hundred bytes of the heap.
 */
export class BodyBuffer {
	private blocks: Buffer[] = [];
	/** Block that is being filled, and how much of it is. */
	private block: Buffer | undefined;
	private filled = 0;
	private size = 0;
	/** Stated length of a large body; 0 if it is not known. */
	private expectedBytes = 0;

	/** Number of bytes collected. */
	get length(): number {
		return this.size;
	}

	/** Number of objects that hold the bytes. */
	get blockCount(): number {
		return this.blocks.length + (this.block === undefined ? 0 : 1);
	}

	/**
	 * States the length of the body before its first chunk. A large one is then collected in one block: chunks that are kept
	 * are freed by a full garbage collection only, and joining them takes as much memory again.
	 */
	expect(length: number): void {
		this.expectedBytes = length > blockBytes ? length : 0;
	}

	/** Appends a chunk. The caller must not change it afterwards. */
	append(chunk: Uint8Array): void {
		const isFirst = this.size === 0;
		if (this.expectedBytes > 0 && this.size + chunk.length <= this.expectedBytes && (isFirst || this.block !== undefined)) {
			this.block ??= Buffer.allocUnsafeSlow(this.expectedBytes);
			this.block.set(chunk, this.filled);
			this.filled += chunk.length;
			this.size += chunk.length;
			return;
		}

		this.size += chunk.length;
		const fits = this.block !== undefined && this.filled + chunk.length <= blockBytes;
		// Most bodies have one chunk, which is kept without a copy.
		if (isFirst || (!fits && chunk.length >= minKeptBytes)) {
			this.closeBlock();
			this.blocks.push(toBuffer(chunk));
			return;
		}

		if (!fits) {
			this.closeBlock();
		}

		this.block ??= Buffer.allocUnsafeSlow(blockBytes);
		this.block.set(chunk, this.filled);
		this.filled += chunk.length;
	}

	/** Returns the whole body. */
	toBytes(): Buffer {
		this.closeBlock();
		if (this.blocks.length !== 1) {
			this.blocks = [Buffer.concat(this.blocks)];
		}

		return this.blocks[0];
	}

	/** Drops what was collected. */
	clear(): void {
		this.blocks = [];
		this.block = undefined;
		this.filled = 0;
		this.size = 0;
		this.expectedBytes = 0;
	}

	private closeBlock(): void {
		if (this.block !== undefined) {
			this.blocks.push(this.block.subarray(0, this.filled));
			this.block = undefined;
			this.filled = 0;
			this.expectedBytes = 0;
		}
	}
}

function toBuffer(chunk: Uint8Array): Buffer {
	return Buffer.isBuffer(chunk) ? chunk : Buffer.from(chunk.buffer, chunk.byteOffset, chunk.length);
}
