/**
 * What a follower knows of the contacts of its leader, as a proof for the time
 * at which it becomes leader itself. See docs/design/lost-leader.md.
 */
import type {Clock} from '@bluebellyard/core';
import {minStepMs, readClockOffset} from './clock-step-detector.js';
import {aloneAfterMs, type ContactStatement} from './leader-contacts.js';

/** Share by which the clocks of two instances may differ. */
export const maxClockDifference = 0.03;

/** Allowance for clock steps that are too small to be detected, in milliseconds: the smallest detected one, and a fifth for other clocks and rounding. */
export const undetectedStepMs = 1.2 * minStepMs;

/** Number of stamps that are remembered; a ping repeats the last or the one before. */
const maxStamps = 8;

/** Statement of a leader in a ping. */
export type ContactMessage = ContactStatement & {
	/** Stamp of the last answer of the receiver that the leader has read; left out if there is none. */
	readonly echo?: number;
};

/** Proof that a leader was not alone for a time. */
export type ContactProof = {
	/** Monotonic time before which the leader was not alone, in milliseconds. */
	readonly validUntil: number;
	/** Names of instances that give the leader no contact before that time. */
	readonly absent: readonly string[];
};

/** A time at which an answer was sent, with the offset between the clocks then, in milliseconds. */
type Stamp = {
	readonly at: number;
	readonly clockOffset: number;
};

/** Collects the statements of one leader at one of its followers. Time is monotonic, in milliseconds. */
export class ContactProofs {
	private stamps: Stamp[] = [];
	private best: {readonly proof: ContactProof; readonly stamp: Stamp} | undefined;

	private readonly clock: Clock;

	constructor(clock: Clock) {
		this.clock = clock;
	}

	/** Returns the stamp of an answer that is sent now: the whole milliseconds of the time. */
	createStamp(): number {
		const at = Math.floor(this.clock.now());
		this.stamps = [...this.stamps, {at, clockOffset: readClockOffset(this.clock)}].slice(-maxStamps);
		return at;
	}

	/** Records the statement of a ping, which may be late or repeated. */
	record({echo, ageMs, absent = []}: ContactMessage): void {
		// A stamp of a former process of this instance, on another clock, proves nothing.
		this.dropAfterStep();
		const stamp = this.stamps.find(({at}) => at === echo);
		if (stamp === undefined) {
			return;
		}

		const validUntil = stamp.at - (ageMs * (1 + maxClockDifference)) + (aloneAfterMs * (1 - maxClockDifference)) - undetectedStepMs;
		if (this.best === undefined || validUntil >= this.best.proof.validUntil) {
			this.best = {proof: {validUntil, absent}, stamp};
		}
	}

	/** Returns a proof for the present time, if there is one. */
	find(): ContactProof | undefined {
		this.dropAfterStep();
		const proof = this.best?.proof;
		return proof !== undefined && this.clock.now() < proof.validUntil ? proof : undefined;
	}

	/**
	 * Drops what is older than a step of a clock: the monotonic clock may have stood still, so that ages are not known.
	 * All steps since the stamp count together, so that several small ones do not exceed the allowance.
	 */
	private dropAfterStep(): void {
		const offset = readClockOffset(this.clock);
		const isValid = ({clockOffset}: Stamp) => Math.abs(offset - clockOffset) <= minStepMs;
		this.stamps = this.stamps.filter(stamp => isValid(stamp));
		if (this.best !== undefined && !isValid(this.best.stamp)) {
			this.best = undefined;
		}
	}
}
