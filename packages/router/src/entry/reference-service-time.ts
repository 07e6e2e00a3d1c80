/** Service times of the targets of one pool as their stewards report them, and their median. */
export class ReferenceServiceTime {
	private readonly serviceTimes = new Map<string, number>();

	/** Records the service time of a target in milliseconds; 0 means that its steward has measured none and is ignored. */
	record(target: string, serviceMs: number): void {
		if (serviceMs > 0) {
			this.serviceTimes.set(target, serviceMs);
		}
	}

	/** Returns the median over the targets in milliseconds, the expected service time of a warm target; undefined when none is known. */
	medianMs(): number | undefined {
		const sorted = [...this.serviceTimes.values()].toSorted((a, b) => a - b);
		return sorted[Math.floor(sorted.length / 2)];
	}
}
