import type {Clock} from '../clock/index.js';

/** Clock that moves only when `advance` is called. */
export class ManualClock implements Clock {
	private currentMs = 0;

	now(): number {
		return this.currentMs;
	}

	date(): Date {
		return new Date(this.currentMs);
	}

	/** Moves the clock forward by `ms` milliseconds. */
	advance(ms: number): void {
		this.currentMs += ms;
	}
}
