/** Returns a number of events by the Poisson distribution with this mean. */
export function drawPoisson(random: () => number, mean: number): number {
	let product = random();
	let n = 0;
	while (product > Math.exp(-mean)) {
		product *= random();
		n += 1;
	}

	return n;
}

/** Returns a number by the standard normal distribution. */
export function drawGaussian(random: () => number): number {
	return Math.sqrt(-2 * Math.log(random())) * Math.cos(2 * Math.PI * random());
}

/** Returns a number by the log-normal distribution with this mean; `spread` is the standard deviation of its logarithm. */
export function drawLogNormal(random: () => number, mean: number, spread: number): number {
	return mean * Math.exp((drawGaussian(random) * spread) - ((spread ** 2) / 2));
}
