import type {Clock} from './clock.js';

/** Clock that only advances when `advance` is called; for tests and fault injection. */
export class ManualClock implements Clock {
	private current: number;
	/** Wall-clock time minus monotonic time, in milliseconds. */
	private wallOffset = 0;

	constructor(start = 0) {
		this.current = start;
	}

	/** Returns the monotonic time in milliseconds. */
	now(): number {
		return this.current;
	}

	/** Returns the wall-clock time, which follows the monotonic time apart from the steps of `stepWall`. */
	date(): Date {
		return new Date(this.current + this.wallOffset);
	}

	/** Advances the clock by `ms` milliseconds. */
	advance(ms: number): void {
		this.current += ms;
	}

	/** Sets the wall clock forward by `ms` milliseconds, as for a process that was suspended while its monotonic clock stood still. */
	stepWall(ms: number): void {
		this.wallOffset += ms;
	}
}
