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
};

/** Body of a message without one. */
export const noBytes = Buffer.alloc(0);

/** Size of the frame prefix, in bytes: flags, length of the head, length of the body. */
const prefixBytes = 9;

/** Largest frame, in bytes; fits a body of 64 MiB with its headers. */
const maxFrameBytes = 72 * 1024 * 1024;

/** Size of the dictionary of previous heads, in bytes; about two requests. A larger one costs time and hardly improves the compression. */
const dictionaryBytes = 760;

/** Parameters of the compressor; the window (2^10 bytes) holds the dictionary. */
const zlibLimits = {windowBits: 10, memLevel: 3, level: 1};

/** Smallest body that may be compressed, in bytes. */
const minCompressedBytes = 256;

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

	/** Encodes a message. */
	encode({value, bytes}: Message): Buffer {
		const plain = packr.pack(value);
		const head = this.isCompressed ? this.dictionary.deflate(plain) : plain;
		const isDeflated = this.isCompressed && isCompressible(bytes);
		const body = isDeflated ? deflateRawSync(bytes, {level: zlibLimits.level}) : bytes;
		const prefix = Buffer.allocUnsafe(prefixBytes);
		prefix.writeUInt8((this.isCompressed ? FrameFlag.DeflatedHead : FrameFlag.None) + (isDeflated ? FrameFlag.DeflatedBytes : FrameFlag.None), 0);
		prefix.writeUInt32BE(head.length, 1);
		prefix.writeUInt32BE(body.length, 1 + 4);
		return Buffer.concat([prefix, head, body]);
	}
}

/** Decodes the messages of one direction of a link. */
export class FrameReader {
	/** Whether the other side compresses its frames. */
	isCompressed = false;
	private readonly dictionary = new HeadDictionary();
	private chunks: Buffer[] = [];
	private bufferedBytes = 0;

	/** Appends received bytes and returns the messages that are now complete. Throws a `RangeError` if the bytes are not a frame. */
	push(chunk: Buffer): Message[] {
		this.chunks.push(chunk);
		this.bufferedBytes += chunk.length;
		const messages: Message[] = [];
		for (let message = this.next(); message !== undefined; message = this.next()) {
			messages.push(message);
		}

		return messages;
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
	if (bytes.length < minCompressedBytes) {
		return false;
	}

	const sample = bytes.subarray(0, sampleBytes);
	return deflateRawSync(sample, zlibLimits).length <= sample.length * maxCompressionRatio;
}
