import {assumedInstances, isolatedRate} from './allowance-rules.js';
import {PacedPermits} from './paced-permits.js';
import type {Team} from './team.js';

/** Width of a slot of the history, in milliseconds. */
const slotMs = 250;

/** Number of slots; together the window of the limit. */
const slots = 20;

const windowSeconds = slotMs * slots / 1000;

/** Share of an equal part of the limit that an instance without contact uses in a window, counted with what it admitted before. */
const windowShare = 0.75;

/** Share of that part which an instance may admit at once, so that requests that arrive at random find a permit. */
const savedShare = 0.3;

/** Smallest number of permits that are saved; below it they are paced, as one saved permit at each of 450 instances exceeds the limit of a small team. */
const minSavedPermits = 2;

const msPerSecond = 1000;

/** What an instance may admit of one team without contact with a leader, with regard to what it admitted in contact. */
export class IsolatedAllowance {
	private readonly counts = Array.from({length: slots}, () => 0);
	private slot = 0;
	private readonly permits: PacedPermits;
	/** Saved permits, used instead of the paced ones where the part of the instance is several requests. */
	private tokens = Number.POSITIVE_INFINITY;
	private refilledAt: number;

	/** `phase` is a random number between 0 and 1. */
	constructor(private readonly phase: number, now: number) {
		this.permits = new PacedPermits(phase, now);
		this.refilledAt = now;
	}

	/** Records an admitted request, or with -1 one that was given back. */
	record(count: number, now: number): void {
		this.forgetOld(now);
		this.counts[this.slot % slots] += count;
	}

	/** Takes a permit. Returns the time until there may be one, in milliseconds; 0 if it was taken. */
	take(team: Team, instances: number, now: number): number {
		const {ratePerSecond = 0, burst} = team;
		const assumed = assumedInstances(instances);
		const rate = isolatedRate(team, assumed);
		this.permits.advance(rate, now);
		const capacity = savedShare * partOf(team, assumed, windowShare);
		this.tokens = Math.min(capacity, this.tokens + (rate * Math.max(0, now - this.refilledAt) / msPerSecond));
		this.refilledAt = now;
		if (!this.hasRoom(team, assumed, windowShare, now)) {
			return slotMs;
		}

		if (capacity >= minSavedPermits) {
			return this.takeSaved(rate);
		}

		const usablePart = Math.min(1, (ratePerSecond + burst) / assumed);
		return this.permits.take(usablePart) ? 0 : this.permits.waitMs(rate);
	}

	/** Returns whether the admitted requests of the last 5 s are less than an equal part of `share` of the limit. */
	hasRoom(team: Team, instances: number, share: number, now: number): boolean {
		this.forgetOld(now);
		const recent = this.counts.reduce((sum, count) => sum + count, 0);
		// A part of less than a request is rounded at random, so that all instances together keep the limit.
		const limit = Math.floor(partOf(team, instances, share) + this.phase);
		return limit === 0 || recent < limit;
	}

	private takeSaved(rate: number): number {
		if (this.tokens >= 1) {
			this.tokens -= 1;
			return 0;
		}

		return Math.max(1, (1 - this.tokens) / rate * msPerSecond);
	}

	private forgetOld(now: number): void {
		const slot = Math.floor(now / slotMs);
		const passed = Math.min(slots, slot - this.slot);
		for (let i = 0; i < passed; i += 1) {
			this.counts[(slot - i) % slots] = 0;
		}

		this.slot = Math.max(slot, this.slot);
	}
}

/** Returns an equal part of `share` of the limit of a window, in requests. */
function partOf({ratePerSecond = 0, burst}: Team, instances: number, share: number): number {
	return share * ((ratePerSecond * windowSeconds) + burst) / instances;
}
