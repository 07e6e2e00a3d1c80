import xxhash from 'xxhash-wasm';

const {h32} = await xxhash();

/** Returns a 32-bit hash of a text, which is the same in every instance and version. */
export function hashText(text: string, seed = 0): number {
	return h32(text, seed);
}
