/**
 * Framing of messages between instances: a head in msgpack and, for the body of
 * a request or an answer, bytes that are sent unchanged. On links between
 * failure domains heads are compressed with the previous heads of the link as
 * dictionary, since successive requests resemble each other.
 */
import {Buffer} from 'node:buffer';
import {deflateRawSync, inflateRawSync} from 'node:zlib';
import {Packr} from 'msgpackr';

/** A message between two instances. */
export type Message = {
	/** Data that is encoded in msgpack. */
	readonly value: unknown;
	/** Body that is sent unchanged; may be empty. */
	readonly bytes: Buffer;
	/** Whether the body was dropped on its way, as there is no memory for it. */
	readonly isDropped?: boolean;
};

/** Body of a message without one. */
export const noBytes = Buffer.alloc(0);

/** Size of the frame prefix, in bytes: flags, length of the head, length of the body. */
const prefixBytes = 9;

/** Largest frame, in bytes; fits a body of 64 MiB with its headers. */
const maxFrameBytes = 72 * 1024 * 1024;

/** Size from which a body is not copied into its frame, in bytes; a further write costs more than a small copy. */
const maxCopiedBytes = 16_384;

/** Size of the dictionary of previous heads, in bytes; about two requests. A larger one costs time and hardly improves the compression. */
const dictionaryBytes = 760;

/** Parameters of the compressor; the window (2^10 bytes) holds the dictionary. */
const zlibLimits = {windowBits: 10, memLevel: 3, level: 1};

/** Smallest body that may be compressed, in bytes. */
const minCompressedBytes = 256;

/** Largest body that is compressed, in bytes. Bodies are compressed in one go, during which the process does nothing else. */
const maxCompressedBytes = 1_048_576;

/** Size of the sample that is compressed to decide whether to compress a body, in bytes. */
const sampleBytes = 512;

/** Largest ratio of compressed to original size of the sample at which the body is compressed. */
const maxCompressionRatio = 0.85;

enum FrameFlag {
	None = 0,
	/** The head is compressed with the previous heads of the link as dictionary. */
	DeflatedHead = 1,
	/** The body is compressed. */
	DeflatedBytes = 2,
}

const packr = new Packr({useRecords: false, moreTypes: false});

/** Compression dictionary from the heads sent over a link in one direction. Both sides keep the same one. */
class HeadDictionary {
	private bytes: Buffer = Buffer.alloc(0);

	deflate(head: Buffer): Buffer {
		const deflated = deflateRawSync(head, {...zlibLimits, ...this.dictionary()});
		this.add(head);
		return deflated;
	}

	inflate(deflated: Buffer): Buffer {
		const head = inflateRawSync(deflated, {maxOutputLength: maxFrameBytes, ...this.dictionary()});
		this.add(head);
		return head;
	}

	private dictionary(): {dictionary?: Buffer} {
		return this.bytes.length === 0 ? {} : {dictionary: this.bytes};
	}

	private add(head: Buffer): void {
		this.bytes = Buffer.concat([this.bytes, head]).subarray(-dictionaryBytes);
	}
}

/** Encodes the messages of one direction of a link. */
export class FrameWriter {
	/** Whether frames are compressed. Pays off only between failure domains, where traffic costs more than compression time. */
	isCompressed = false;
	private readonly dictionary = new HeadDictionary();

	/** Encodes a message. Returns what is to be sent; a large body is not copied. */
	encode({value, bytes}: Message): Buffer[] {
		const plain = packr.pack(value);
		const head = this.isCompressed ? this.dictionary.deflate(plain) : plain;
		const isDeflated = this.isCompressed && isCompressible(bytes);
		const body = isDeflated ? deflateRawSync(bytes, {level: zlibLimits.level}) : bytes;
		const prefix = Buffer.allocUnsafe(prefixBytes);
		prefix.writeUInt8((this.isCompressed ? FrameFlag.DeflatedHead : FrameFlag.None) + (isDeflated ? FrameFlag.DeflatedBytes : FrameFlag.None), 0);
		prefix.writeUInt32BE(head.length, 1);
		prefix.writeUInt32BE(body.length, 1 + 4);
		return body.length < maxCopiedBytes ? [Buffer.concat([prefix, head, body])] : [Buffer.concat([prefix, head]), body];
	}
}

/** Decodes the messages of one direction of a link. */
export class FrameReader {
	/** Whether the other side compresses its frames. */
	isCompressed = false;
	private readonly dictionary = new HeadDictionary();
	private chunks: Buffer[] = [];
	private bufferedBytes = 0;
	/** Prefix and head of a frame whose body is dropped. */
	private droppedFrame: Buffer | undefined;
	/** Bytes of that body that have not arrived yet. */
	private droppedBytes = 0;

	/** Number of bytes that are held for a frame that is not complete. */
	get heldBytes(): number {
		return this.bufferedBytes;
	}

	/** Drops the body of the frame that is not complete. Returns whether it could: its head must have arrived. */
	dropBody(): boolean {
		if (this.droppedFrame !== undefined || this.bufferedBytes < prefixBytes) {
			return false;
		}

		const prefix = this.peek(prefixBytes);
		const end = prefixBytes + prefix.readUInt32BE(1);
		if (this.bufferedBytes < end) {
			return false;
		}

		this.droppedBytes = end + prefix.readUInt32BE(1 + 4) - this.bufferedBytes;
		this.droppedFrame = Buffer.from(this.peek(end));
		this.droppedFrame.writeUInt8(this.droppedFrame.readUInt8(0) % FrameFlag.DeflatedBytes, 0);
		this.droppedFrame.writeUInt32BE(0, 1 + 4);
		this.chunks = [];
		this.bufferedBytes = 0;
		return true;
	}

	/** Appends received bytes and returns the messages that are now complete. Throws a `RangeError` if the bytes are not a frame. */
	push(chunk: Buffer): Message[] {
		const messages: Message[] = [];
		const rest = this.skipDropped(chunk, messages);
		if (rest.length > 0) {
			this.chunks.push(rest);
			this.bufferedBytes += rest.length;
		}

		for (let message = this.next(); message !== undefined; message = this.next()) {
			messages.push(message);
		}

		return messages;
	}

	/** Skips what belongs to a dropped body, and adds its message when all of it has arrived. Returns the bytes after it. */
	private skipDropped(chunk: Buffer, messages: Message[]): Buffer {
		const frame = this.droppedFrame;
		if (frame === undefined) {
			return chunk;
		}

		const skipped = Math.min(chunk.length, this.droppedBytes);
		this.droppedBytes -= skipped;
		if (this.droppedBytes === 0) {
			this.droppedFrame = undefined;
			this.chunks = [frame];
			this.bufferedBytes = frame.length;
			messages.push({...this.next()!, isDropped: true});
		}

		return chunk.subarray(skipped);
	}

	private next(): Message | undefined {
		if (this.bufferedBytes < prefixBytes) {
			return undefined;
		}

		const prefix = this.peek(prefixBytes);
		const flags = prefix.readUInt8(0);
		const headLength = prefix.readUInt32BE(1);
		const length = headLength + prefix.readUInt32BE(1 + 4);
		if (flags > FrameFlag.DeflatedHead + FrameFlag.DeflatedBytes || length > maxFrameBytes) {
			throw new RangeError(`unknown flags or too long: flags ${flags}, ${length} bytes`);
		}

		if (this.bufferedBytes < prefixBytes + length) {
			return undefined;
		}

		const frame = this.consume(prefixBytes + length).subarray(prefixBytes);
		const head = frame.subarray(0, headLength);
		const body = frame.subarray(headLength);
		this.isCompressed = hasFlag(flags, FrameFlag.DeflatedHead);
		return {
			value: packr.unpack(this.isCompressed ? this.dictionary.inflate(head) : head),
			bytes: hasFlag(flags, FrameFlag.DeflatedBytes) ? inflateRawSync(body, {maxOutputLength: maxFrameBytes}) : body,
		};
	}

	/** Returns the first bytes without consuming them. Joins the chunks only if the first one is too short. */
	private peek(length: number): Buffer {
		if (this.chunks[0].length < length) {
			this.chunks = [Buffer.concat(this.chunks)];
		}

		return this.chunks[0].subarray(0, length);
	}

	private consume(length: number): Buffer {
		const first = this.peek(length);
		this.chunks[0] = this.chunks[0].subarray(length);
		if (this.chunks[0].length === 0) {
			this.chunks.shift();
		}

		this.bufferedBytes -= length;
		return first;
	}
}

function hasFlag(flags: number, flag: FrameFlag): boolean {
	return Math.floor(flags / flag) % 2 === 1;
}

function isCompressible(bytes: Buffer): boolean {
	if (bytes.length < minCompressedBytes || bytes.length > maxCompressedBytes) {
		return false;
	}

	const sample = bytes.subarray(0, sampleBytes);
	return deflateRawSync(sample, zlibLimits).length <= sample.length * maxCompressionRatio;
}
