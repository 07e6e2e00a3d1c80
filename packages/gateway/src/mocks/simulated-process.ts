import type {Clock} from '@bluebellyard/core';

/** Order of the events of all processes of a simulation by real time, in milliseconds. */
export class EventQueue {
	now = 0;
	private readonly events: Array<{readonly at: number; readonly seq: number; readonly run: () => void}> = [];
	private seq = 0;

	/** Runs something after a delay in milliseconds. */
	after(delayMs: number, run: () => void): void {
		this.seq += 1;
		const event = {at: this.now + delayMs, seq: this.seq, run};
		let low = 0;
		let high = this.events.length;
		while (low < high) {
			const middle = (low + high) >>> 1; // eslint-disable-line no-bitwise
			if (isLater(this.events[middle], event)) {
				low = middle + 1;
			} else {
				high = middle;
			}
		}

		this.events.splice(low, 0, event);
	}

	/** Runs all events up to a time. */
	runUntil(time: number): void {
		while (this.events.length > 0 && this.events.at(-1)!.at <= time) {
			const event = this.events.pop()!;
			this.now = event.at;
			event.run();
		}

		this.now = time;
	}
}

/** A process with clocks of its own that can be frozen; what it should do meanwhile happens when it wakes, in any order. */
export class SimulatedProcess implements Clock {
	isEnded = false;
	private readonly queue: EventQueue;
	private readonly random: () => number;
	private readonly rate: number;
	private readonly offset: number;
	private frozenAt: number | undefined;
	private pending: Array<() => void> = [];
	private stoppedMs = 0;

	/** `rate` is the speed of the monotonic clock; `offset` its time at the real time 0, in milliseconds. */
	constructor(queue: EventQueue, random: () => number, rate: number, offset: number) {
		this.queue = queue;
		this.random = random;
		this.rate = rate;
		this.offset = offset;
	}

	now(): number {
		return this.offset + ((this.queue.now - this.stoppedMs) * this.rate);
	}

	date(): Date {
		return new Date(1_000_000 + (this.queue.now * this.rate));
	}

	/** Runs something in this process after a delay, once it is not frozen. */
	after(delayMs: number, run: () => void): void {
		this.queue.after(delayMs, () => {
			this.run(run);
		});
	}

	/** Stands still for a time. The monotonic clock may stand still, too. */
	freeze(durationMs: number, stopsClock: boolean): void {
		this.frozenAt = this.queue.now;
		this.queue.after(durationMs, () => {
			this.frozenAt = undefined;
			this.stoppedMs += stopsClock ? durationMs : 0;
			const pending = this.pending.map(run => ({run, rank: this.random()})).toSorted((a, b) => a.rank - b.rank);
			this.pending = [];
			for (const {run} of pending) {
				this.run(run);
			}
		});
	}

	private run(run: () => void): void {
		if (this.frozenAt !== undefined) {
			this.pending.push(run);
		} else if (!this.isEnded) {
			run();
		}
	}
}

function isLater(a: {readonly at: number; readonly seq: number}, b: {readonly at: number; readonly seq: number}): boolean {
	return a.at === b.at ? a.seq > b.seq : a.at > b.at;
}
