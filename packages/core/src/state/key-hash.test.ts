import test from 'ava';
import xxhash from 'xxhash-wasm';
import {hashText} from './key-hash.js';

// Instances of all versions must find the same owner of a key.
test('key hash: equals XXH32 for texts of all lengths and seeds', async t => {
	const {h32} = await xxhash();
	const letters = ['a', 'é', '漢', '😀', '\0'];
	for (const seed of [0, 1, 77, 0x7F_FF_FF_FF, 0xFF_FF_FF_FF]) {
		for (let length = 0; length < 80; length += 1) {
			const text = Array.from({length}, (_, i) => letters[(i * (length + 1)) % letters.length]).join('') + length;
			t.is(hashText(text, seed), h32(text, seed), `${seed} ${text}`);
		}

		for (const text of ['', 'x', 'key', 'a'.repeat(16), 'a'.repeat(1000)]) {
			t.is(hashText(text, seed), h32(text, seed), `${seed} ${text}`);
		}
	}
});
