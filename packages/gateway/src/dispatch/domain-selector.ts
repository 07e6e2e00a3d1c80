/** Half-life of a measured wait, in milliseconds; about the time in which a queue drains. */
const halfLifeMs = 400;

/** Fraction of the latency objective that the expected wait in the own domain may reach before other domains are considered. */
const localWaitShare = 0.2;

/** Cost of sending a request to another failure domain, in milliseconds of wait: the network is slower and traffic between domains is charged. */
const remoteDomainCostMs = 60;

/** Wait recorded for a domain that refused a request or could not be reached, in milliseconds. */
const refusalCostMs = 600;

/** A failure domain with targets of a service. */
export type DomainCandidate = {
	readonly domain: string;
	readonly queueId: string;
	readonly targetCount: number;
};

/** Input for the selection of a domain. */
export type SelectionInput = {
	/** Failure domain of this instance. */
	readonly ownDomain: string;
	readonly objectiveMs: number;
	readonly now: number;
	/** Random number from 0 to 1. */
	readonly random: number;
};

/**
 * Selects the failure domain for a request that any target of a service may run.
 * Spreads load that is uneven over the domains while sending as little traffic
 * as possible between them.
 */
export class DomainSelector {
	private readonly waits = new Map<string, {waitMs: number; at: number}>();

	/** Records how long a request waited that a dispatch queue served. */
	recordWait(queueId: string, waitMs: number, now: number): void {
		const previousMs = this.estimateWaitMs(queueId, now);
		this.waits.set(queueId, {waitMs: Math.max(waitMs, previousMs * 0.7), at: now});
	}

	/** Records that a dispatch queue refused a request or could not be reached. */
	recordRefusal(queueId: string, now: number): void {
		this.waits.set(queueId, {waitMs: refusalCostMs, at: now});
	}

	/** Returns the expected wait in a dispatch queue, in milliseconds. */
	estimateWaitMs(queueId: string, now: number): number {
		const row = this.waits.get(queueId);
		return row === undefined ? 0 : row.waitMs * (0.5 ** ((now - row.at) / halfLifeMs));
	}

	/** Returns the domain for a request, or undefined without candidates. */
	select(candidates: readonly DomainCandidate[], {ownDomain, objectiveMs, now, random}: SelectionInput): DomainCandidate | undefined {
		const local = candidates.find(candidate => candidate.domain === ownDomain);
		if (local !== undefined && this.estimateWaitMs(local.queueId, now) <= objectiveMs * localWaitShare) {
			return local;
		}

		let best: DomainCandidate | undefined;
		let bestCost = Number.POSITIVE_INFINITY;
		const total = candidates.reduce((sum, candidate) => sum + candidate.targetCount, 0);
		let remaining = random * total;
		for (const candidate of candidates) {
			remaining -= candidate.targetCount;
			// Breaks ties at random, weighted by the number of targets.
			const isDrawn = remaining < 0 && remaining + candidate.targetCount >= 0;
			const cost = this.estimateWaitMs(candidate.queueId, now) + (candidate.domain === ownDomain ? 0 : remoteDomainCostMs) - (isDrawn ? 1 : 0);
			if (cost < bestCost) {
				best = candidate;
				bestCost = cost;
			}
		}

		return best;
	}
}
