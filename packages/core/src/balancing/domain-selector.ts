import type {QueueLoad} from './queue-load.js';

/** Fraction of the latency objective that the expected wait in the own domain may reach before other domains are considered. */
export const localWaitShare = 0.2;

/** Cost of sending a request to another failure domain, in milliseconds of wait: the network is slower and traffic between domains is charged. */
export const remoteDomainCostMs = 60;

/** A failure domain with targets of a service. */
export type DomainCandidate = {
	readonly domain: string;
	readonly queueId: string;
	readonly targetCount: number;
	/** Slots of these targets. */
	readonly slots: number;
	/** Name of the steward of the queue; undefined without one. */
	readonly steward: string | undefined;
};

/** Input for the selection of a domain. */
export type SelectionInput = {
	/** Failure domain of this instance. */
	readonly ownDomain: string;
	readonly objectiveMs: number;
	readonly now: number;
	/** Returns a random number from 0 to 1. */
	readonly random: () => number;
};

/** How a domain was selected. */
export enum ChoiceKind {
	/** It is the own domain, which has room. */
	Own = 'own',
	/** The first of two candidates: the own domain, or one that was drawn if the own one is none. */
	First = 'first',
	/** The second of two candidates, which was drawn. */
	Second = 'second',
	/** The candidate with the lowest observed wait. */
	Lowest = 'lowest',
}

/** A selected domain. */
export type DomainChoice = {
	readonly candidate: DomainCandidate;
	readonly kind: ChoiceKind;
	/** Age of the state of the queue that was used, in milliseconds; undefined if none was known. */
	readonly stateAgeMs?: number;
};

/**
 * Selects the failure domain for a request that any target of a service may run.
 * Spreads load that is uneven over the domains while sending as little traffic
 * as possible between them.
 */
export abstract class DomainSelector {
	/** Returns the domain for a request, or undefined without candidates. */
	abstract select(candidates: readonly DomainCandidate[], input: SelectionInput): DomainChoice | undefined;

	/** Records that a request of this much work, in milliseconds, was sent to a queue. The returned function records its end. */
	abstract recordSend(candidate: DomainCandidate, workMs: number): () => void;

	/** Records how long a request waited that a queue served, in milliseconds, and the load of the queue if the steward told it. */
	abstract recordAnswer(candidate: DomainCandidate, waitMs: number, load: QueueLoad | undefined, now: number): void;

	/** Records that a queue refused a request or could not be reached, and the load of the queue if the steward told it. */
	abstract recordRefusal(candidate: DomainCandidate, load: QueueLoad | undefined, now: number): void;
}
