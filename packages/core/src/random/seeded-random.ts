const modulus = 2_147_483_647;
const multiplier = 48_271;

/** Returns a linear congruential generator of numbers between 0 and 1 that depend only on the seed, for tests and experiments. */
export function seededRandom(seed: number): () => number {
	let state = (Math.abs(seed) % (modulus - 1)) + 1;
	return () => {
		state = (state * multiplier) % modulus;
		return state / modulus;
	};
}
