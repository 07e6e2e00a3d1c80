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

/** What an instance may admit of one team without contact with a leader, with regard to what it admitted in contact. */
export class IsolatedAllowance {
	private readonly counts = Array.from({length: slots}, () => 0);
	private slot = 0;
	private readonly permits: PacedPermits;

	/** `phase` is a random number between 0 and 1. */
	constructor(private readonly phase: number, now: number) {
		this.permits = new PacedPermits(phase, now);
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
		if (!this.hasRoom(team, assumed, windowShare, now)) {
			return slotMs;
		}

		const usablePart = Math.min(1, (ratePerSecond + burst) / assumed);
		return this.permits.take(usablePart) ? 0 : this.permits.waitMs(rate);
	}

	/** Returns whether the admitted requests of the last 5 s are less than an equal part of `share` of the limit. */
	hasRoom({ratePerSecond = 0, burst}: Team, instances: number, share: number, now: number): boolean {
		this.forgetOld(now);
		const recent = this.counts.reduce((sum, count) => sum + count, 0);
		// A part of less than a request is rounded at random, so that all instances together keep the limit.
		const limit = Math.floor((share * ((ratePerSecond * windowSeconds) + burst) / instances) + this.phase);
		return limit === 0 || recent < limit;
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
