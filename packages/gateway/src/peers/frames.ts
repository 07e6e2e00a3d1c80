/**
 * Messages as bytes: a head in msgpack and, for the body of a request or an
 * answer, bytes that are passed on as they are. On links between failure
 * domains heads are compressed with what the link carried before as dictionary,
 * since one request looks much like the last one.
 */
import {Buffer} from 'node:buffer';
import {deflateRawSync, inflateRawSync} from 'node:zlib';
import {Packr} from 'msgpackr';

/** A message between two instances. */
export type Message = {
	/** Plain data. */
	readonly value: unknown;
	/** Bytes that go along unchanged; empty without any. */
	readonly bytes: Buffer;
};

/** Bytes of a message that has none beside its value. */
export const noBytes = Buffer.alloc(0);

/** Bytes before a frame: flags, length of the head, length of the bytes. */
const prefixBytes = 9;

/** Largest frame, in bytes; a body of 64 MiB with its headers fits. */
const maxFrameBytes = 72 * 1024 * 1024;

/** Bytes of former heads that serve as dictionary: two requests. More hardly shrink the next one and cost time. */
const historyBytes = 760;

/** Window and memory of the compressor, as exponents: a window holds the dictionary. */
const zlibLimits = {windowBits: 10, memLevel: 3, level: 1};

/** Bodies from this size on may be compressed, in bytes. */
const minDeflatedBytes = 256;

/** Part of a body that shows whether it shrinks, in bytes. */
const sampleBytes = 512;

/** Size of the compressed sample, in relation to the sample, up to which the body is compressed. */
const worthwhileShare = 0.85;

enum FrameFlag {
	None = 0,
	/** The head is compressed with the history of the link. */
	DeflatedHead = 1,
	/** The bytes are compressed. */
	DeflatedBytes = 2,
}

const packr = new Packr({useRecords: false, moreTypes: false});

/** Heads that went over a link in one direction; equal on both sides. */
class History {
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
		this.bytes = Buffer.concat([this.bytes, head]).subarray(-historyBytes);
	}
}

/** Encodes the messages of one direction of a link. */
export class FrameWriter {
	/** Worth it between failure domains only, where bytes cost more than the time to compress them. */
	isCompressed = false;
	private readonly history = new History();

	/** Encodes a message. */
	encode({value, bytes}: Message): Buffer {
		const plain = packr.pack(value);
		const head = this.isCompressed ? this.history.deflate(plain) : plain;
		const isDeflated = this.isCompressed && shrinks(bytes);
		const tail = isDeflated ? deflateRawSync(bytes, {level: zlibLimits.level}) : bytes;
		const prefix = Buffer.allocUnsafe(prefixBytes);
		prefix.writeUInt8((this.isCompressed ? FrameFlag.DeflatedHead : FrameFlag.None) + (isDeflated ? FrameFlag.DeflatedBytes : FrameFlag.None), 0);
		prefix.writeUInt32BE(head.length, 1);
		prefix.writeUInt32BE(tail.length, 1 + 4);
		return Buffer.concat([prefix, head, tail]);
	}
}

/** Cuts one direction of a link into messages. */
export class FrameReader {
	/** Whether the other side compresses. */
	isCompressed = false;
	private readonly history = new History();
	private chunks: Buffer[] = [];
	private size = 0;

	/** Messages that are whole with these bytes. Throws when the bytes are no frames. */
	push(chunk: Buffer): Message[] {
		this.chunks.push(chunk);
		this.size += chunk.length;
		const messages: Message[] = [];
		for (let message = this.next(); message !== undefined; message = this.next()) {
			messages.push(message);
		}

		return messages;
	}

	private next(): Message | undefined {
		if (this.size < prefixBytes) {
			return undefined;
		}

		const prefix = this.peek(prefixBytes);
		const flags = prefix.readUInt8(0);
		const headLength = prefix.readUInt32BE(1);
		const length = headLength + prefix.readUInt32BE(1 + 4);
		if (flags > FrameFlag.DeflatedHead + FrameFlag.DeflatedBytes || length > maxFrameBytes) {
			throw new RangeError(`not a frame: flags ${flags}, ${length} bytes`);
		}

		if (this.size < prefixBytes + length) {
			return undefined;
		}

		const frame = this.take(prefixBytes + length).subarray(prefixBytes);
		const head = frame.subarray(0, headLength);
		const tail = frame.subarray(headLength);
		this.isCompressed = hasFlag(flags, FrameFlag.DeflatedHead);
		return {
			value: packr.unpack(this.isCompressed ? this.history.inflate(head) : head),
			bytes: hasFlag(flags, FrameFlag.DeflatedBytes) ? inflateRawSync(tail, {maxOutputLength: maxFrameBytes}) : tail,
		};
	}

	/** The first bytes; joins chunks only when the first one is too short. */
	private peek(length: number): Buffer {
		if (this.chunks[0].length < length) {
			this.chunks = [Buffer.concat(this.chunks)];
		}

		return this.chunks[0].subarray(0, length);
	}

	private take(length: number): Buffer {
		const first = this.peek(length);
		this.chunks[0] = this.chunks[0].subarray(length);
		if (this.chunks[0].length === 0) {
			this.chunks.shift();
		}

		this.size -= length;
		return first;
	}
}

function hasFlag(flags: number, flag: FrameFlag): boolean {
	return Math.floor(flags / flag) % 2 === 1;
}

function shrinks(bytes: Buffer): boolean {
	if (bytes.length < minDeflatedBytes) {
		return false;
	}

	const sample = bytes.subarray(0, sampleBytes);
	return deflateRawSync(sample, zlibLimits).length <= sample.length * worthwhileShare;
}
