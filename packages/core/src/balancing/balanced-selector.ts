import {
	ChoiceKind, DomainSelector, localWaitShare, remoteDomainCostMs, type DomainCandidate, type DomainChoice, type SelectionInput,
} from './domain-selector.js';
import {expectedWaitMs, type QueueLoad} from './queue-load.js';
import {QueueState} from './queue-state.js';

/** Least weight of a candidate in a draw, as a share of its capacity, so that a queue is tried although its state says that it is full. */
const minFreeShare = 0.1;

/**
 * Difference of two expected waits from which the better one is always selected, as a fraction of the latency objective.
 * If any difference decided, all instances would move their requests at once: at a load of 0.95 with states 50 to 400 ms
 * old the queues then fill in turns.
 */
const decisiveShare = 0.5;

type Rated = {
	readonly candidate: DomainCandidate;
	/** Expected wait, in milliseconds. */
	readonly waitMs: number;
	/** Weight in a draw: the free capacity. */
	readonly weight: number;
	readonly stateAgeMs: number | undefined;
};

/**
 * Selects the own domain while its expected wait is short. Else another one is drawn by its free capacity, and the better
 * of the two is selected with a probability that grows with the difference of their waits. Since each instance draws for
 * itself, instances with the same stale information do not all select the same domain.
 */
export class BalancedSelector extends DomainSelector {
	private readonly states = new Map<string, QueueState>();

	override recordSend({queueId}: DomainCandidate, workMs: number): () => void {
		return this.stateOf(queueId).recordSend(workMs);
	}

	override recordAnswer({queueId, steward}: DomainCandidate, _waitMs: number, load: QueueLoad | undefined, now: number): void {
		const state = this.stateOf(queueId);
		state.recordAnswer();
		if (load !== undefined) {
			state.recordLoad(load, steward, now);
		}
	}

	override recordRefusal({queueId, steward}: DomainCandidate, load: QueueLoad | undefined, now: number): void {
		const state = this.stateOf(queueId);
		state.recordRefusal(now);
		if (load !== undefined) {
			state.recordLoad(load, steward, now);
		}
	}

	override select(candidates: readonly DomainCandidate[], input: SelectionInput): DomainChoice | undefined {
		const rated = candidates.map(candidate => this.rate(candidate, input));
		const own = rated.find(({candidate}) => candidate.domain === input.ownDomain);
		if (own !== undefined && own.waitMs < input.objectiveMs * localWaitShare) {
			return toChoice(own, ChoiceKind.Own);
		}

		const first = own ?? draw(rated, input.random);
		if (first === undefined) {
			return undefined;
		}

		const second = draw(rated.filter(other => other !== first), input.random);
		const cost = ({candidate, waitMs}: Rated) => waitMs + (candidate.domain === input.ownDomain ? 0 : remoteDomainCostMs);
		if (second === undefined || cost(first) - cost(second) <= input.random() * input.objectiveMs * decisiveShare) {
			return toChoice(first, ChoiceKind.First);
		}

		return toChoice(second, ChoiceKind.Second);
	}

	private rate(candidate: DomainCandidate, {objectiveMs, now}: SelectionInput): Rated {
		const expected = this.stateOf(candidate.queueId).expect(candidate.steward, candidate.slots, now);
		const {capacity, aheadMs, ageMs, isFull} = expected;
		const waitMs = expectedWaitMs(expected);
		const leastWeight = capacity * objectiveMs * minFreeShare;
		return {
			candidate,
			waitMs: isFull ? Math.max(waitMs, objectiveMs) : waitMs,
			weight: isFull ? leastWeight : Math.max(leastWeight, (capacity * objectiveMs) - aheadMs),
			stateAgeMs: ageMs,
		};
	}

	private stateOf(queueId: string): QueueState {
		const known = this.states.get(queueId);
		if (known !== undefined) {
			return known;
		}

		const state = new QueueState();
		this.states.set(queueId, state);
		return state;
	}
}

function toChoice({candidate, stateAgeMs}: Rated, kind: ChoiceKind): DomainChoice {
	return {candidate, kind, stateAgeMs};
}

/** Draws one candidate with a probability in proportion to its weight; undefined without candidates. */
function draw(rated: readonly Rated[], random: () => number): Rated | undefined {
	let remaining = random() * rated.reduce((sum, {weight}) => sum + weight, 0);
	for (const candidate of rated) {
		remaining -= candidate.weight;
		if (remaining < 0) {
			return candidate;
		}
	}

	return rated.at(-1);
}
