/* eslint-disable no-bitwise, unicorn/prefer-math-trunc -- the hash is defined on 32-bit words */
import {Buffer} from 'node:buffer';

/** Primes and layout of XXH32. */
const prime1 = 0x9E_37_79_B1;
const prime2 = 0x85_EB_CA_77;
const prime3 = 0xC2_B2_AE_3D;
const prime4 = 0x27_D4_EB_2F;
const prime5 = 0x16_56_67_B1;
const stripeBytes = 16;
const wordBytes = 4;

function rotateLeft(value: number, bits: number): number {
	return (value << bits) | (value >>> (32 - bits));
}

function mixWord(lane: number, word: number): number {
	return Math.imul(rotateLeft(lane + Math.imul(word, prime2), 13), prime1);
}

/** Returns a 32-bit hash of a text (XXH32 of its UTF-8 bytes), which is the same in every instance and version. Synchronous, so that the bundle can be a script, for which V8 has a code cache. */
export function hashText(text: string, seed = 0): number {
	const bytes = Buffer.from(text);
	let i = 0;
	let hash = seed + prime5;
	if (bytes.length >= stripeBytes) {
		const lanes = [seed + prime1 + prime2, seed + prime2, seed, seed - prime1].map(lane => lane | 0);
		for (; i + stripeBytes <= bytes.length; i += stripeBytes) {
			for (const [j, lane] of lanes.entries()) {
				lanes[j] = mixWord(lane, bytes.readInt32LE(i + (j * wordBytes)));
			}
		}

		hash = rotateLeft(lanes[0], 1) + rotateLeft(lanes[1], 7) + rotateLeft(lanes[2], 12) + rotateLeft(lanes[3], 18);
	}

	hash = (hash + bytes.length) | 0;
	for (; i + wordBytes <= bytes.length; i += wordBytes) {
		hash = Math.imul(rotateLeft((hash + Math.imul(bytes.readInt32LE(i), prime3)) | 0, 17), prime4);
	}

	for (; i < bytes.length; i += 1) {
		hash = Math.imul(rotateLeft((hash + Math.imul(bytes[i], prime5)) | 0, 11), prime1);
	}

	hash = Math.imul(hash ^ (hash >>> 15), prime2);
	hash = Math.imul(hash ^ (hash >>> 13), prime3);
	return (hash ^ (hash >>> 16)) >>> 0;
}
