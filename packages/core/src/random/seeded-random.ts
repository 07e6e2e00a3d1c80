const modulus = 2_147_483_647;
const multiplier = 48_271;

/** Numbers from 0 to 1 that depend on the seed alone, for tests and experiments; by a linear congruential generator. */
export function seededRandom(seed: number): () => number {
	let state = (Math.abs(seed) % (modulus - 1)) + 1;
	return () => {
		state = (state * multiplier) % modulus;
		return state / modulus;
	};
}
