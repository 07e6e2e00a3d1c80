/** Weight of one answer in the mean of its route. */
const routeWeight = 0.05;

/** Part of a route's objective that its work is assumed to take until it was measured. */
const assumedShare = 0.3;

/** Weight of one answer in the speed of a target. */
const speedWeight = 0.15;

/** Bounds of a target's slowness, so that one odd answer can not shut it out. */
const minSlowness = 0.25;
const maxSlowness = 12;

/** How long the requests of each route take on a target of usual speed, in milliseconds. */
export class WorkEstimator {
	private readonly means = new Map<string, number>();

	/** Expected work of a request. */
	estimate(route: string, objectiveMs: number): number {
		return this.means.get(route) ?? objectiveMs * assumedShare;
	}

	/** Takes a measured answer, corrected for the target's slowness. */
	record(route: string, objectiveMs: number, workMs: number): void {
		const mean = this.estimate(route, objectiveMs);
		this.means.set(route, mean + ((Math.min(workMs, mean * 4) - mean) * routeWeight));
	}
}

/** How much longer than usual a target takes; 1 is usual. */
export class SlownessEstimate {
	private mean = 1;
	/** Factor that the target's own load report states for its machine at the moment. */
	private noise = 1;

	/** Expected factor for a request that starts now. */
	get factor(): number {
		return this.mean * this.noise;
	}

	/** Lasting factor, without the noise of the moment. */
	get longTerm(): number {
		return this.mean;
	}

	/** Takes an answer's time in relation to its expected work. */
	record(ratio: number): void {
		const bounded = Math.min(maxSlowness, Math.max(minSlowness, ratio / this.noise));
		this.mean += (bounded - this.mean) * speedWeight;
	}

	/** Takes the factor of the moment that the target reported. */
	setReportedSlowdown(noise: number): void {
		this.noise = Math.min(maxSlowness, Math.max(1, noise));
	}
}
