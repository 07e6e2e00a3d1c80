import type {Clock} from '@bluebellyard/core';

/** Smallest change of the offset between the two clocks that counts as a step, in milliseconds. */
export const minStepMs = 200;

/**
 * Detects that the process may have been suspended: the monotonic clock can
 * stop meanwhile, but the wall clock advances. A step of the wall clock has the same effect.
 */
export class ClockStepDetector {
	/** Wall-clock time minus monotonic time, in milliseconds. */
	private offset: number;

	constructor(private readonly clock: Clock) {
		this.offset = this.readOffset();
	}

	/** Returns whether one of the clocks made a step since the last call. */
	hasStepped(): boolean {
		const offset = this.readOffset();
		const isStep = Math.abs(offset - this.offset) > minStepMs;
		this.offset = offset;
		return isStep;
	}

	private readOffset(): number {
		return readClockOffset(this.clock);
	}
}

/** Returns wall-clock time minus monotonic time, in milliseconds. */
export function readClockOffset(clock: Clock): number {
	return clock.date().getTime() - clock.now();
}
