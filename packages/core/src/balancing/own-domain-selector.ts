import {
	ChoiceKind, DomainSelector, localWaitShare, remoteDomainCostMs, type DomainCandidate, type DomainChoice, type SelectionInput,
} from './domain-selector.js';
import type {QueueLoad} from './queue-load.js';

/** Half-life of a measured wait, in milliseconds; about the time in which a queue drains. */
const halfLifeMs = 400;

/** Wait recorded for a domain that refused a request or could not be reached, in milliseconds. */
const refusalCostMs = 600;

/**
 * Selects the own domain while the waits that this instance observed there are short, else the domain with the lowest
 * observed wait.
 */
export class OwnDomainSelector extends DomainSelector {
	private readonly waits = new Map<string, {waitMs: number; at: number}>();

	override recordSend(): () => void {
		return () => {
			// Requests in flight are not counted.
		};
	}

	override recordAnswer({queueId}: DomainCandidate, waitMs: number, _load: QueueLoad | undefined, now: number): void {
		const previousMs = this.estimateWaitMs(queueId, now);
		this.waits.set(queueId, {waitMs: Math.max(waitMs, previousMs * 0.7), at: now});
	}

	override recordRefusal({queueId}: DomainCandidate, _load: QueueLoad | undefined, now: number): void {
		this.waits.set(queueId, {waitMs: refusalCostMs, at: now});
	}

	/** Returns the expected wait in a dispatch queue, in milliseconds. */
	estimateWaitMs(queueId: string, now: number): number {
		const row = this.waits.get(queueId);
		return row === undefined ? 0 : row.waitMs * (0.5 ** ((now - row.at) / halfLifeMs));
	}

	override select(candidates: readonly DomainCandidate[], {ownDomain, objectiveMs, now, random}: SelectionInput): DomainChoice | undefined {
		const local = candidates.find(candidate => candidate.domain === ownDomain);
		if (local !== undefined && this.estimateWaitMs(local.queueId, now) <= objectiveMs * localWaitShare) {
			return {candidate: local, kind: ChoiceKind.Own};
		}

		let best: DomainCandidate | undefined;
		let bestCost = Number.POSITIVE_INFINITY;
		const total = candidates.reduce((sum, candidate) => sum + candidate.targetCount, 0);
		let remaining = random() * total;
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

		return best === undefined ? undefined : {candidate: best, kind: ChoiceKind.Lowest};
	}
}
