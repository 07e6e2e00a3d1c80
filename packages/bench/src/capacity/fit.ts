/** A measurement: the cost at a size. */
export type Point = {
	readonly size: number;
	readonly value: number;
};

/** A straight line fitted to measurements. */
export type LinearFit = {
	/** Cost per unit of size. */
	readonly slope: number;
	readonly intercept: number;
	/** Largest deviation of a measurement from the line, as a share of the largest value. */
	readonly residual: number;
};

/** Fits a line by least squares; needs at least two distinct sizes. */
export function fitLine(points: readonly Point[]): LinearFit {
	const count = points.length;
	const meanSize = points.reduce((sum, {size}) => sum + size, 0) / count;
	const meanValue = points.reduce((sum, {value}) => sum + value, 0) / count;
	let covariance = 0;
	let variance = 0;
	for (const {size, value} of points) {
		covariance += (size - meanSize) * (value - meanValue);
		variance += (size - meanSize) ** 2;
	}

	const slope = covariance / variance;
	const intercept = meanValue - (slope * meanSize);
	const largest = Math.max(...points.map(({value}) => Math.abs(value)));
	const distances = points.map(({size, value}) => Math.abs(value - intercept - (slope * size)));
	return {slope, intercept, residual: Math.max(...distances) / largest};
}

/** Returns the value of a fitted line at a size. */
export function predictValue(fit: LinearFit, size: number): number {
	return fit.intercept + (fit.slope * size);
}
