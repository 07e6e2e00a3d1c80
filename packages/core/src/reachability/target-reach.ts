import type {PathTarget} from './path-monitor.js';

/** Time for which evidence against a target counts, in milliseconds; a target without requests is not tried again. */
const evidenceValidMs = 10_000;

/** Records which targets an instance does not reach at present. Times are monotonic milliseconds. */
export class TargetReach {
	/** Times of the last evidence against targets that have not responded since, by target id. */
	private readonly failures = new Map<string, number>();

	/** Records a request or check without a response. */
	recordFailure(target: string, now: number): void {
		this.failures.set(target, now);
	}

	/** Records a response to a request, or a check that succeeded. */
	recordSuccess(target: string): void {
		this.failures.delete(target);
	}

	/** Returns the number of targets out of reach by failure domain, 0 for domains with none; all targets if the instance is cut off. */
	outOfReach(targets: readonly PathTarget[], isCutOff: boolean, now: number): Map<string, number> {
		const counts = new Map<string, number>();
		for (const {id, domain} of targets) {
			const isOut = isCutOff || now - (this.failures.get(id) ?? Number.NEGATIVE_INFINITY) < evidenceValidMs;
			counts.set(domain, (counts.get(domain) ?? 0) + (isOut ? 1 : 0));
		}

		for (const [id, at] of this.failures) {
			if (now - at >= evidenceValidMs) {
				this.failures.delete(id);
			}
		}

		return counts;
	}
}
