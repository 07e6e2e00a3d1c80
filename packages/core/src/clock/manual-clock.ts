import type {Clock} from './clock.js';

/** Clock that only advances when `advance` is called; for tests and fault injection. */
export class ManualClock implements Clock {
	private current: number;

	constructor(start = 0) {
		this.current = start;
	}

	/** Returns the monotonic time in milliseconds. */
	now(): number {
		return this.current;
	}

	/** Returns the wall-clock time derived from the monotonic time. */
	date(): Date {
		return new Date(this.current);
	}

	/** Advances the clock by `ms` milliseconds. */
	advance(ms: number): void {
		this.current += ms;
	}
}
