/**
 * What a follower knows of the contacts of its leader, as a proof for the time
 * at which it becomes leader itself. See docs/design/lost-leader.md.
 */
import type {Clock} from '@bluebellyard/core';
import {ClockStepDetector} from './clock-step-detector.js';
import {aloneAfterMs, type ContactStatement} from './leader-contacts.js';

/** Share by which the clocks of two instances may differ. */
export const maxClockDifference = 0.03;

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

/** Collects the statements of one leader at one of its followers. Time is monotonic, in milliseconds. */
export class ContactProofs {
	private stamps: number[] = [];
	private best: ContactProof | undefined;
	private readonly clockStepDetector: ClockStepDetector;

	constructor(private readonly clock: Clock) {
		this.clockStepDetector = new ClockStepDetector(clock);
	}

	/** Returns the stamp of an answer that is sent now: the whole milliseconds of the time. */
	createStamp(): number {
		const stamp = Math.floor(this.clock.now());
		this.stamps = [...this.stamps, stamp].slice(-maxStamps);
		return stamp;
	}

	/** Records the statement of a ping, which may be late or repeated. */
	record({echo, ageMs, absent = []}: ContactMessage): void {
		// A stamp of a former process of this instance, on another clock, proves nothing.
		if (echo === undefined || !this.stamps.includes(echo)) {
			return;
		}

		this.dropAfterStep();
		const validUntil = echo - (ageMs * (1 + maxClockDifference)) + (aloneAfterMs * (1 - maxClockDifference));
		if (this.best === undefined || validUntil >= this.best.validUntil) {
			this.best = {validUntil, absent};
		}
	}

	/** Returns a proof for the present time, if there is one. */
	find(): ContactProof | undefined {
		this.dropAfterStep();
		return this.best !== undefined && this.clock.now() < this.best.validUntil ? this.best : undefined;
	}

	/** Drops everything if a clock made a step: the monotonic clock may have stood still, so that ages are not known. */
	private dropAfterStep(): void {
		if (this.clockStepDetector.hasStepped()) {
			this.stamps = [];
			this.best = undefined;
		}
	}
}
