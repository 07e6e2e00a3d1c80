import type {RandomGenerator} from 'pure-rand/types/RandomGenerator';
import {uniformInt} from 'pure-rand/distribution/uniformInt';

/** Whether a target of a shared pool may receive work. */
export enum Availability {
	/** Receives work. */
	Available = 'open',
	/** Slow by our own measurements; receives work only when the others are full. */
	SetAside = 'set-aside',
	/** Taken out, leaving or lost; receives nothing. */
	Unavailable = 'closed',
}

/** A target of a shared pool as the chooser sees it. */
export type Candidate = {
	readonly name: string;
	readonly availability: Availability;
	/** Expected number of requests there, waiting ones included. */
	readonly load: number;
	/** Requests that it may run at the moment. */
	readonly limit: number;
	/** Typical time that it takes for a request, in milliseconds; undefined when not known. */
	readonly serviceMs?: number;
};

/** Picks one target of a shared pool for a request. */
export abstract class TargetSelector {
	/**
	 * The target to send to; undefined when none may receive work.
	 * `except` names a target to avoid when there is another, as for a retry or a hedge.
	 */
	select(candidates: readonly Candidate[], except?: string): Candidate | undefined {
		const allowed = candidates.filter(candidate => candidate.availability !== Availability.Unavailable);
		const others = allowed.filter(candidate => candidate.name !== except);
		const usable = this.usable(others.length === 0 ? allowed : others);
		return usable.length === 0 ? undefined : this.pick(usable);
	}

	/** The candidates among which to pick; set-aside ones only when all others are full. */
	protected usable(allowed: readonly Candidate[]): readonly Candidate[] {
		const open = allowed.filter(candidate => candidate.availability === Availability.Available);
		const hasRoom = open.some(candidate => candidate.load < candidate.limit);
		return hasRoom || open.length === allowed.length ? open : this.spill(allowed, open);
	}

	/** Picks one of at least one candidates. */
	protected abstract pick(usable: readonly Candidate[]): Candidate;

	private spill(allowed: readonly Candidate[], open: readonly Candidate[]): readonly Candidate[] {
		const idle = allowed.filter(candidate => candidate.availability === Availability.SetAside && candidate.load < 1);
		return open.length === 0 ? allowed : [...open, ...idle];
	}
}

/** Ratio of service times up to which they count as equal; closer ones differ by chance. */
const sameServiceRatio = 2;

/** Which of two candidates would answer one more request sooner. */
export function fasterOf(a: Candidate, b: Candidate): Candidate {
	const service = (a.serviceMs ?? 0) / (b.serviceMs ?? 0);
	const known = service > 0 && Number.isFinite(service);
	const differs = known && (service > sameServiceRatio || service < 1 / sameServiceRatio);
	const costA = roundsOf(a) * (differs ? service : 1);
	return roundsOf(b) < costA ? b : a;
}

function roundsOf(candidate: Candidate): number {
	return (candidate.load + 1) / Math.max(1, candidate.limit);
}

/** Power of two choices: two at random, the cheaper one wins. */
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

/** One after the other, whatever their load. */
export class RoundRobin extends TargetSelector {
	private turn = 0;

	protected override usable(allowed: readonly Candidate[]): readonly Candidate[] {
		return allowed;
	}

	protected override pick(usable: readonly Candidate[]): Candidate {
		this.turn = (this.turn + 1) % usable.length;
		return usable[this.turn];
	}
}

/** The fewest requests in relation to the limit; ties are broken at random so that instances do not agree. */
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
