import type {RandomGenerator} from 'pure-rand/types/RandomGenerator';
import {uniformInt} from 'pure-rand/distribution/uniformInt';

/** Whether a target of a shared pool may receive requests. */
export enum Availability {
	/** Receives requests. */
	Available = 'open',
	/** Slow according to measurements; receives requests only when the others are full. */
	SetAside = 'set-aside',
	/** Disabled, leaving or lost; receives no requests. */
	Unavailable = 'closed',
}

/** A target of a shared pool that may be selected. */
export type Candidate = {
	readonly name: string;
	readonly availability: Availability;
	/** Expected number of requests at the target, waiting ones included. */
	readonly load: number;
	/** Requests that it may run concurrently at present. */
	readonly limit: number;
	/** Typical service time, in milliseconds; undefined when not known. */
	readonly serviceMs?: number;
};

/** Selects one target of a shared pool for a request. */
export abstract class TargetSelector {
	/**
	 * Returns the target to send to; undefined when none may receive requests.
	 * `except` names a target to avoid if there is another, as for a retry or a hedge.
	 */
	select(candidates: readonly Candidate[], except?: string): Candidate | undefined {
		const allowed = candidates.filter(candidate => candidate.availability !== Availability.Unavailable);
		const others = allowed.filter(candidate => candidate.name !== except);
		const usable = this.usable(others.length === 0 ? allowed : others);
		return usable.length === 0 ? undefined : this.pick(usable);
	}

	/** Returns the candidates to pick from; includes targets set aside only when all others are full. */
	protected usable(allowed: readonly Candidate[]): readonly Candidate[] {
		const open = allowed.filter(candidate => candidate.availability === Availability.Available);
		const hasCapacity = open.some(candidate => candidate.load < candidate.limit);
		return hasCapacity || open.length === allowed.length ? open : this.addIdleSetAside(allowed, open);
	}

	/** Picks one of the candidates, of which there is at least one. */
	protected abstract pick(usable: readonly Candidate[]): Candidate;

	private addIdleSetAside(allowed: readonly Candidate[], open: readonly Candidate[]): readonly Candidate[] {
		const idle = allowed.filter(candidate => candidate.availability === Availability.SetAside && candidate.load < 1);
		return open.length === 0 ? allowed : [...open, ...idle];
	}
}

/** Ratio up to which service times count as equal; smaller differences are noise. */
const similarServiceRatio = 2;

/** Returns the candidate that is expected to answer one more request sooner. */
export function fasterOf(a: Candidate, b: Candidate): Candidate {
	const service = (a.serviceMs ?? 0) / (b.serviceMs ?? 0);
	const isKnown = service > 0 && Number.isFinite(service);
	const isDifferent = isKnown && (service > similarServiceRatio || service < 1 / similarServiceRatio);
	const timeA = roundsUntilDone(a) * (isDifferent ? service : 1);
	return roundsUntilDone(b) < timeA ? b : a;
}

function roundsUntilDone(candidate: Candidate): number {
	return (candidate.load + 1) / Math.max(1, candidate.limit);
}

/** Power of two choices: the faster of two random candidates. */
export class PowerOfTwo extends TargetSelector {
	constructor(private readonly rng: RandomGenerator) {
		super();
	}

	protected override pick(usable: readonly Candidate[]): Candidate {
		const first = uniformInt(this.rng, 0, usable.length - 1);
		if (usable.length === 1) {
			return usable[first];
		}

		const offset = uniformInt(this.rng, 1, usable.length - 1);
		const second = (first + offset) % usable.length;
		return fasterOf(usable[first], usable[second]);
	}
}

/** Selects targets in turn, whatever their load. */
export class RoundRobin extends TargetSelector {
	private index = 0;

	protected override usable(allowed: readonly Candidate[]): readonly Candidate[] {
		return allowed;
	}

	protected override pick(usable: readonly Candidate[]): Candidate {
		this.index = (this.index + 1) % usable.length;
		return usable[this.index];
	}
}

/** Selects the target with the lowest ratio of load to limit; breaks ties at random so that instances do not all select the same one. */
export class LeastInFlight extends TargetSelector {
	constructor(private readonly rng: RandomGenerator) {
		super();
	}

	protected override pick(usable: readonly Candidate[]): Candidate {
		const least = Math.min(...usable.map(relativeLoad));
		const ties = usable.filter(candidate => relativeLoad(candidate) === least);
		return ties[uniformInt(this.rng, 0, ties.length - 1)];
	}
}

function relativeLoad(candidate: Candidate): number {
	return candidate.load / Math.max(1, candidate.limit);
}
