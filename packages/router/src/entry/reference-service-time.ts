/** Typical service times of the targets of one pool, as their stewards measured them. */
export class ReferenceServiceTime {
	private readonly times = new Map<string, number>();

	/** Takes the service time of a target in milliseconds; 0 when its steward knows none. */
	record(target: string, serviceMs: number): void {
		if (serviceMs > 0) {
			this.times.set(target, serviceMs);
		}
	}

	/** Median over the targets in milliseconds: what a warm target is expected to take. */
	medianMs(): number | undefined {
		const sorted = [...this.times.values()].toSorted((a, b) => a - b);
		return sorted[Math.floor(sorted.length / 2)];
	}
}
