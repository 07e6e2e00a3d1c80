import {Buffer} from 'node:buffer';
import {deflateRawSync, inflateRawSync} from 'node:zlib';
import {Packr} from 'msgpackr';

/** Bytes before a frame: its length and whether it is compressed. */
const headBytes = 5;

/** Frames from this size on are compressed, in bytes: below it the result is hardly smaller. */
const deflateFromBytes = 900;

/** Largest frame, in bytes; a body of 64 MiB with its headers fits. */
const maxFrameBytes = 72 * 1024 * 1024;

const packr = new Packr({useRecords: false, moreTypes: false});

/** Encodes one message with its length. */
export function encodeFrame(message: unknown): Buffer {
	const plain = packr.pack(message);
	const isDeflated = plain.length >= deflateFromBytes;
	const body = isDeflated ? deflateRawSync(plain, {level: 1}) : plain;
	const head = Buffer.allocUnsafe(headBytes);
	head.writeUInt32BE(body.length, 0);
	head[4] = isDeflated ? 1 : 0;
	return Buffer.concat([head, body]);
}

/** Cuts a byte stream into messages. */
export class FrameReader {
	private pending: Buffer = Buffer.alloc(0);

	/** Messages that are whole with these bytes. Throws when the bytes are no frames. */
	push(chunk: Buffer): unknown[] {
		this.pending = this.pending.length === 0 ? chunk : Buffer.concat([this.pending, chunk]);
		const messages: unknown[] = [];
		while (this.pending.length >= headBytes) {
			const length = this.pending.readUInt32BE(0);
			if (length > maxFrameBytes) {
				throw new RangeError(`a frame of ${length} bytes is too long`);
			}

			const end = headBytes + length;
			if (this.pending.length < end) {
				break;
			}

			const body = this.pending.subarray(headBytes, end);
			messages.push(packr.unpack(this.pending[4] === 1 ? inflateRawSync(body, {maxOutputLength: maxFrameBytes}) : body));
			this.pending = this.pending.subarray(end);
		}

		return messages;
	}
}
