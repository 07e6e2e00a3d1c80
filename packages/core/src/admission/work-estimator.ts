/** Weight of one answer in the mean of its route. */
const routeWeight = 0.05;

/** Share of a route's objective that its requests are assumed to take before any was measured. */
const assumedShare = 0.3;

/** Weight of one answer in the slowness of a target. */
const slownessWeight = 0.15;

/** Bounds of a target's slowness, so that one outlier cannot exclude the target. */
const minSlowness = 0.25;
const maxSlowness = 12;

/** Estimates how long the requests of each route take on a target of normal speed, in milliseconds. */
export class WorkEstimator {
	private readonly means = new Map<string, number>();

	/** Returns the expected work of a request, in milliseconds. */
	estimate(route: string, objectiveMs: number): number {
		return this.means.get(route) ?? objectiveMs * assumedShare;
	}

	/** Records the measured work of an answered request, in milliseconds; the caller corrects it for the target's slowness. */
	record(route: string, objectiveMs: number, workMs: number): void {
		const mean = this.estimate(route, objectiveMs);
		this.means.set(route, mean + ((Math.min(workMs, mean * 4) - mean) * routeWeight));
	}
}

/** Estimates the factor by which a target takes longer than a target of normal speed. */
export class SlownessEstimate {
	private mean = 1;
	private hasSample = false;
	/** Current slowdown of the target's machine according to its load report. */
	private reportedSlowdown = 1;

	/** Whether a request was measured; without one the factors are assumptions. */
	get isMeasured(): boolean {
		return this.hasSample;
	}

	/** Expected factor for a request that starts now. */
	get factor(): number {
		return this.mean * this.reportedSlowdown;
	}

	/** Long-term factor, without the current slowdown that the target reported. */
	get longTerm(): number {
		return this.mean;
	}

	/** Returns the expected factor if no request was measured but `typical` is the long-term factor of similar targets. */
	factorOr(typical: number): number {
		return (this.hasSample ? this.mean : typical) * this.reportedSlowdown;
	}

	/** Records the duration of a request divided by its expected work. */
	record(ratio: number): void {
		const bounded = Math.min(maxSlowness, Math.max(minSlowness, ratio / this.reportedSlowdown));
		this.mean += (bounded - this.mean) * slownessWeight;
		this.hasSample = true;
	}

	/** Sets the current slowdown that the target reported. */
	setReportedSlowdown(slowdown: number): void {
		this.reportedSlowdown = Math.min(maxSlowness, Math.max(1, slowdown));
	}
}
