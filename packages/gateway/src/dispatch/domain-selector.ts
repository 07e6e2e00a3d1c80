/** Time in which a measured wait loses half of its weight, in milliseconds: about the time in which a queue drains. */
const halfLifeMs = 400;

/** Part of the objective that a request may wait near by before far targets are considered. */
const nearShare = 0.2;

/** What a way into another failure domain costs in comparison, in milliseconds: it is slower and the bytes are paid for. */
const farPenaltyMs = 60;

/** Cost of a domain that could not be reached or refused a moment ago, in milliseconds. */
const refusedMs = 600;

/** A failure domain with targets of a service. */
export type DomainCandidate = {
	readonly domain: string;
	readonly desk: string;
	readonly targets: number;
};

/** What a choice rests on. */
export type SelectionInput = {
	/** Failure domain of this instance. */
	readonly own: string;
	readonly objectiveMs: number;
	readonly now: number;
	/** A number from 0 to 1. */
	readonly random: number;
};

/**
 * Picks the failure domain for a request that any target of a service may run.
 * Answers load that is uneven over domains, with as few bytes between them as can be.
 */
export class DomainSelector {
	private readonly rows = new Map<string, {waitMs: number; at: number}>();

	/** Takes the wait of a request that was served. */
	recordWait(desk: string, waitMs: number, now: number): void {
		const known = this.estimateWaitMs(desk, now);
		this.rows.set(desk, {waitMs: Math.max(waitMs, known * 0.7), at: now});
	}

	/** Takes note that a desk refused or could not be reached. */
	recordRefusal(desk: string, now: number): void {
		this.rows.set(desk, {waitMs: refusedMs, at: now});
	}

	/** Expected wait at a desk, in milliseconds. */
	estimateWaitMs(desk: string, now: number): number {
		const row = this.rows.get(desk);
		return row === undefined ? 0 : row.waitMs * (0.5 ** ((now - row.at) / halfLifeMs));
	}

	/** The choice for a request; undefined when there is none. */
	select(choices: readonly DomainCandidate[], {own, objectiveMs, now, random}: SelectionInput): DomainCandidate | undefined {
		const near = choices.find(choice => choice.domain === own);
		if (near !== undefined && this.estimateWaitMs(near.desk, now) <= objectiveMs * nearShare) {
			return near;
		}

		let best: DomainCandidate | undefined;
		let bestCost = Number.POSITIVE_INFINITY;
		const total = choices.reduce((sum, choice) => sum + choice.targets, 0);
		let mark = random * total;
		for (const choice of choices) {
			mark -= choice.targets;
			// Among equals, one at random, by the number of targets.
			const isDrawn = mark < 0 && mark + choice.targets >= 0;
			const cost = this.estimateWaitMs(choice.desk, now) + (choice.domain === own ? 0 : farPenaltyMs) - (isDrawn ? 1 : 0);
			if (cost < bestCost) {
				best = choice;
				bestCost = cost;
			}
		}

		return best;
	}
}
