import type {Clock} from '@bluebellyard/core';

/** Difference between the two clocks from which on the process may have been suspended, in milliseconds. */
const jumpMs = 200;

/**
 * Notices that the process was suspended: steady time may stand still then,
 * while the time of day goes on. A step of the time of day looks the same.
 */
export class ClockStepDetector {
	private offset: number;

	constructor(private readonly clock: Clock) {
		this.offset = this.read();
	}

	/** Whether one of the clocks jumped since the last call. */
	hasStepped(): boolean {
		const offset = this.read();
		const hasJumped = Math.abs(offset - this.offset) > jumpMs;
		this.offset = offset;
		return hasJumped;
	}

	private read(): number {
		return this.clock.date().getTime() - this.clock.now();
	}
}
